package org.currantslip.core.membership;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.schema.NodeRecord;

/** Chooses the incarnation of a starting process. */
public final class Incarnations {
  private Incarnations() {}

  /**
   * Returns an incarnation above that of the stored join record, so that a clock that lags does not
   * hide a restart. Fails when the store cannot be read; {@link Clock#nowMs} serves then.
   */
  public static CompletableFuture<Long> next(String name, ObjectStore store, Clock clock) {
    return store
        .get(JoinRecord.nameOf(name))
        .thenApply(
            found ->
                found
                    .flatMap(JoinRecord::parse)
                    .map(NodeRecord::getId)
                    .map(id -> Math.max(id.getIncarnation() + 1, clock.nowMs()))
                    .orElseGet(clock::nowMs));
  }
}
