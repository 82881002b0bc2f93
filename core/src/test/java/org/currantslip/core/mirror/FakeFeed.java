package org.currantslip.core.mirror;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindFeed;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.StoreException;

/** Records calls to the store; tests answer them. */
final class FakeFeed implements KindFeed {
  final List<CompletableFuture<KindPage>> lists = new ArrayList<>();
  final List<String> listedAfter = new ArrayList<>();
  final List<CompletableFuture<KindChanges>> watches = new ArrayList<>();
  final List<Long> watchedFrom = new ArrayList<>();

  static KindObject object(String name, long version) {
    return new KindObject(name, version, ByteString.copyFromUtf8(name + version), ByteString.EMPTY);
  }

  @Override
  public CompletableFuture<KindPage> listKind(String kind, String startAfter) {
    CompletableFuture<KindPage> call = new CompletableFuture<>();
    lists.add(call);
    listedAfter.add(startAfter);
    return call;
  }

  @Override
  public CompletableFuture<KindChanges> watchKind(String kind, long afterRevision, long waitMs) {
    CompletableFuture<KindChanges> call = new CompletableFuture<>();
    watches.add(call);
    watchedFrom.add(afterRevision);
    return call;
  }

  @Override
  public CompletableFuture<Long> putStatus(
      String kind, String name, ByteString status, long expectedVersion) {
    throw new UnsupportedOperationException();
  }

  void listed(long revision, KindObject... objects) {
    lists.get(lists.size() - 1).complete(new KindPage(List.of(objects), false, revision));
  }

  void changed(long revision, KindObject object, boolean removed) {
    lastWatch()
        .complete(
            new KindChanges(List.of(new KindChanges.Change(object, removed)), revision, false));
  }

  void failList(StoreException.Kind kind) {
    lists.get(lists.size() - 1).completeExceptionally(StoreException.of(kind, "test"));
  }

  CompletableFuture<KindChanges> lastWatch() {
    return watches.get(watches.size() - 1);
  }

  void failWatch(StoreException.Kind kind) {
    lastWatch().completeExceptionally(StoreException.of(kind, "test"));
  }
}
