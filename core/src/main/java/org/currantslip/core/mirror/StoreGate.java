package org.currantslip.core.mirror;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.StoreException;

/**
 * Limits the calls of this node's mirrors to a store that does not answer.
 *
 * <p>After a failed call, one call at a time finds out whether the store is back; the others fail
 * here. A node that does not watch the store asks less often, since it learns of the recovery from
 * a watcher. Without the limit each mirror of each node polls the store during an outage.
 */
final class StoreGate {
  /** Limits how long the recovery of the store goes unnoticed. */
  private static final long WATCHER_INTERVAL_MS = 400;

  /** Slightly longer than a follower avoids a watcher that has lost the store. */
  private static final long FOLLOWER_INTERVAL_MS = 2_200;

  private final Clock clock;
  private final BooleanSupplier isWatcher;
  private boolean failing;
  private long nextCallMs;

  private StoreGate(Clock clock, BooleanSupplier isWatcher) {
    this.clock = clock;
    this.isWatcher = isWatcher;
  }

  static StoreGate create(Clock clock, BooleanSupplier isWatcher) {
    return new StoreGate(clock, isWatcher);
  }

  /** Returns whether a call would fail here. */
  boolean isClosed() {
    return failing && clock.nowMs() < nextCallMs;
  }

  /** Makes a call, or fails at once if the store has failed a moment ago. */
  <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> storeCall) {
    long nowMs = clock.nowMs();
    if (isClosed()) {
      return CompletableFuture.failedFuture(
          StoreException.of(StoreException.Kind.DEFERRED, "the store failed a moment ago"));
    }
    if (failing) {
      nextCallMs = nowMs + intervalMs();
    }
    return storeCall
        .get()
        .whenComplete(
            (answer, failure) -> {
              if (failure == null || !isNotDone(failure)) {
                failing = false;
              } else if (!failing) {
                failing = true;
                nextCallMs = clock.nowMs() + intervalMs();
              }
            });
  }

  private long intervalMs() {
    return isWatcher.getAsBoolean() ? WATCHER_INTERVAL_MS : FOLLOWER_INTERVAL_MS;
  }

  private static boolean isNotDone(Throwable failure) {
    return StoreException.find(failure)
        .map(e -> e.kind() == StoreException.Kind.NOT_DONE)
        .orElse(true);
  }
}
