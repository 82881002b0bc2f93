package org.currantslip.core.evacuation;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindObject;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StorePosition;

/**
 * A fake store of evacuation orders that can fall silent, lose its history or its latest writes.
 */
final class FakeOrderStore implements KindStore {
  private static final long LATENCY_MS = 5;

  private record Watch(StorePosition after, CompletableFuture<KindChanges> answer) {}

  private final FakeEvents events;
  private final TreeMap<String, KindObject> objects = new TreeMap<>();
  private final List<KindChanges.Change> log = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  final List<String> statusWrites = new ArrayList<>();
  private long era;
  private long revision = 1;
  private boolean silent;
  int calls;

  FakeOrderStore(FakeEvents events) {
    this.events = events;
  }

  void put(String name, String spec) {
    change(
        new KindObject(name, ++revision, ByteString.copyFromUtf8(spec), ByteString.EMPTY), false);
  }

  void remove(String name) {
    revision++;
    Optional.ofNullable(objects.get(name)).ifPresent(o -> change(o, true));
  }

  private void change(KindObject object, boolean removed) {
    if (removed) {
      objects.remove(object.name());
    } else {
      objects.put(object.name(), object);
    }
    log.add(new KindChanges.Change(object, removed));
    endWatches(w -> w.answer().complete(changesAfter(w.after())));
  }

  private void endWatches(java.util.function.Consumer<Watch> end) {
    List<Watch> due = List.copyOf(watches);
    watches.clear();
    due.forEach(w -> reply(() -> end.accept(w)));
  }

  private void reply(Runnable action) {
    if (!silent) {
      events.after(LATENCY_MS, action);
    }
  }

  /** Drops all replies, so that calls hang. */
  void setSilent(boolean silence) {
    silent = silence;
  }

  /** Returns from a copy without objects, in a new era. */
  void restoreEmpty() {
    era++;
    revision = 1;
    objects.clear();
    log.clear();
    endWatches(w -> w.answer().complete(new KindChanges(List.of(), position(), false)));
  }

  /** Discards the history, so that watches have to start from a list. */
  void discardHistory() {
    endWatches(
        w ->
            w.answer()
                .completeExceptionally(
                    StoreException.of(StoreException.Kind.HISTORY_GONE, "discarded")));
  }

  private StorePosition position() {
    return new StorePosition(era, revision);
  }

  private KindChanges changesAfter(StorePosition after) {
    return new KindChanges(
        log.stream().filter(c -> c.object().version() > after.revision() || c.removed()).toList(),
        position(),
        false);
  }

  @Override
  public CompletableFuture<KindPage> listKind(String kind, String startAfter) {
    calls++;
    CompletableFuture<KindPage> answer = new CompletableFuture<>();
    reply(() -> answer.complete(new KindPage(List.copyOf(objects.values()), false, position())));
    return answer;
  }

  @Override
  public CompletableFuture<KindChanges> watchKind(String kind, StorePosition after, long waitMs) {
    calls++;
    Watch watch = new Watch(after, new CompletableFuture<>());
    if (position().isAfter(after)) {
      reply(() -> watch.answer().complete(changesAfter(after)));
    } else {
      watches.add(watch);
    }
    return watch.answer();
  }

  @Override
  public CompletableFuture<Long> probe() {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Long> putStatus(
      String kind, String name, ByteString status, long expectedVersion) {
    calls++;
    CompletableFuture<Long> answer = new CompletableFuture<>();
    reply(
        () -> {
          KindObject existing = objects.get(name);
          if (existing == null || existing.version() != expectedVersion) {
            answer.completeExceptionally(StoreException.of(StoreException.Kind.CONFLICT, name));
            return;
          }
          statusWrites.add(status.toStringUtf8());
          change(new KindObject(name, ++revision, existing.spec(), status), false);
          answer.complete(revision);
        });
    return answer;
  }
}
