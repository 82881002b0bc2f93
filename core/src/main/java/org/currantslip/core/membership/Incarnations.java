package org.currantslip.core.membership;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.schema.NodeRecord;

/** Determines the incarnation number of a starting process. */
public final class Incarnations {
  /**
   * Incarnation of a starting process.
   *
   * @param firstStart whether the store has no join record of an earlier process of the node
   */
  public record Allocation(long incarnation, boolean firstStart) {}

  private Incarnations() {}

  /**
   * Returns an incarnation above that of the stored join record, so that a lagging clock does not
   * hide a restart. Fails if the store cannot be read; callers then use {@link Clock#nowMs}.
   */
  public static CompletableFuture<Allocation> next(String name, ObjectStore store, Clock clock) {
    return store
        .get(JoinRecord.objectName(name))
        .thenApply(
            existing ->
                new Allocation(
                    existing
                        .flatMap(JoinRecord::parse)
                        .map(NodeRecord::getId)
                        .map(id -> Math.max(id.getIncarnation() + 1, clock.nowMs()))
                        .orElseGet(clock::nowMs),
                    existing.isEmpty()));
  }
}
