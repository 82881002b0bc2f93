package org.currantslip.core.mirror;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StorePosition;

/** A store feed that records its calls; tests complete them. */
final class FakeFeed implements KindStore {
  final List<CompletableFuture<KindPage>> listCalls = new ArrayList<>();
  final List<String> listStarts = new ArrayList<>();

  /** Number of lists that may be answered from an older state. */
  int staleLists;

  final List<CompletableFuture<KindChanges>> watchCalls = new ArrayList<>();
  final List<Long> watchRevisions = new ArrayList<>();

  /** Era of the answers. */
  long era;

  static KindObject object(String name, long version) {
    return new KindObject(name, version, ByteString.copyFromUtf8(name + version), ByteString.EMPTY);
  }

  @Override
  public CompletableFuture<KindPage> listKind(String kind, String startAfter) {
    CompletableFuture<KindPage> call = new CompletableFuture<>();
    listCalls.add(call);
    listStarts.add(startAfter);
    return call;
  }

  @Override
  public CompletableFuture<KindPage> listKindStale(String kind, String startAfter) {
    staleLists++;
    return listKind(kind, startAfter);
  }

  @Override
  public CompletableFuture<KindChanges> watchKind(String kind, StorePosition after, long waitMs) {
    CompletableFuture<KindChanges> call = new CompletableFuture<>();
    watchCalls.add(call);
    watchRevisions.add(after.revision());
    return call;
  }

  @Override
  public CompletableFuture<Long> probe() {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Long> putStatus(
      String kind, String name, ByteString status, long expectedVersion) {
    throw new UnsupportedOperationException();
  }

  private StorePosition position(long revision) {
    return new StorePosition(era, revision);
  }

  void completeList(long revision, KindObject... objects) {
    listCalls
        .get(listCalls.size() - 1)
        .complete(new KindPage(List.of(objects), false, position(revision)));
  }

  void completeWatch(long revision, KindObject object, boolean removed) {
    lastWatch()
        .complete(
            new KindChanges(
                List.of(new KindChanges.Change(object, removed)), position(revision), false));
  }

  void failList(StoreException.Kind kind) {
    listCalls.get(listCalls.size() - 1).completeExceptionally(StoreException.of(kind, "test"));
  }

  CompletableFuture<KindChanges> lastWatch() {
    return watchCalls.get(watchCalls.size() - 1);
  }

  void failWatch(StoreException.Kind kind) {
    lastWatch().completeExceptionally(StoreException.of(kind, "test"));
  }
}
