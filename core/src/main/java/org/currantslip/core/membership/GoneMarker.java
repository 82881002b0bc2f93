package org.currantslip.core.membership;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/** Marks dead nodes as gone in the store, unless their records show that they still reach it. */
final class GoneMarker {
  private final ObjectStore store;
  private final Clock clock;
  private final Consumer<NodeRecord> recordListener;
  private final UnchangedRecordTracker unchangedRecords;

  private GoneMarker(
      ObjectStore store, Clock clock, long goneAfterMs, Consumer<NodeRecord> recordListener) {
    this.store = store;
    this.clock = clock;
    this.recordListener = recordListener;
    unchangedRecords = UnchangedRecordTracker.of(goneAfterMs);
  }

  /**
   * Creates an instance.
   *
   * @param goneAfterMs time for which the record of a dead node must stay unchanged
   * @param recordListener receives the records that show what became of a node
   */
  static GoneMarker create(
      ObjectStore store, Clock clock, long goneAfterMs, Consumer<NodeRecord> recordListener) {
    return new GoneMarker(store, clock, goneAfterMs, recordListener);
  }

  /** Marks a dead node as gone once its record has stayed unchanged for long enough. */
  void mark(NodeRecord dead) {
    store
        .get(JoinRecord.objectName(dead.getId().getName()))
        .thenCompose(existing -> writeGone(existing, dead))
        .exceptionally(failure -> null);
  }

  private CompletableFuture<Void> writeGone(Optional<StoredObject> existing, NodeRecord dead) {
    NodeRecord current = existing.flatMap(JoinRecord::parse).orElse(dead);
    if (existing.isEmpty()
        || !current.getId().equals(dead.getId())
        || current.getState() == NodeState.GONE) {
      recordListener.accept(current);
      return CompletableFuture.completedFuture(null);
    }
    if (!unchangedRecords.observe(existing.get(), clock.nowMs())) {
      return CompletableFuture.completedFuture(null);
    }
    NodeRecord gone = current.toBuilder().setState(NodeState.GONE).build();
    return store
        .update(existing.get().name(), gone.toByteString(), existing.get().version())
        .thenAccept(version -> recordListener.accept(gone));
  }

  /** Restarts the observation of a node that is live again. */
  void onLive(String name) {
    unchangedRecords.remove(JoinRecord.objectName(name));
  }

  /** Clears all observations, because the store may assign versions a second time. */
  void onStoreRestored() {
    unchangedRecords.clear();
  }
}
