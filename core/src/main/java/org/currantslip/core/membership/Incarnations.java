package org.currantslip.core.membership;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.schema.NodeRecord;

/** Determines the incarnation number of a starting process. */
public final class Incarnations {
  private Incarnations() {}

  /**
   * Incarnation of a starting process.
   *
   * @param number incarnation number
   * @param hasPredecessor whether the node is known to have run before
   */
  public record Start(long number, boolean hasPredecessor) {}

  /**
   * Returns an incarnation above that of the stored join record, so that a lagging clock does not
   * hide a restart. Fails if the store cannot be read; callers then use {@link Clock#nowMs}.
   */
  public static CompletableFuture<Start> nextStart(String name, ObjectStore store, Clock clock) {
    return store
        .get(JoinRecord.objectName(name))
        .thenApply(
            existing ->
                existing
                    .flatMap(JoinRecord::parse)
                    .map(NodeRecord::getId)
                    .map(id -> new Start(Math.max(id.getIncarnation() + 1, clock.nowMs()), true))
                    .orElseGet(() -> new Start(clock.nowMs(), false)));
  }

  /** Returns only the number of {@link #nextStart}. */
  public static CompletableFuture<Long> next(String name, ObjectStore store, Clock clock) {
    return nextStart(name, store, clock).thenApply(Start::number);
  }
}
