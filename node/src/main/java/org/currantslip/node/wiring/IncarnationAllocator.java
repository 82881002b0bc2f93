package org.currantslip.node.wiring;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.membership.Incarnations;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.node.log.EventLog;

/** Allocates the incarnation numbers that distinguish successive starts of a node. */
public final class IncarnationAllocator {
  private IncarnationAllocator() {}

  /**
   * Allocates an incarnation from the store, or uses the clock's time if the store is unavailable.
   *
   * @param decisionThread executor on which the store completes its futures
   * @param timeoutMs longest wait for the store
   */
  public static long allocate(
      String name, ObjectStore store, Executor decisionThread, Clock clock, long timeoutMs)
      throws InterruptedException {
    return allocateStart(name, store, decisionThread, clock, timeoutMs).number();
  }

  /** Like {@link #allocate}; without the store, the node counts as one that has run before. */
  public static Incarnations.Start allocateStart(
      String name, ObjectStore store, Executor decisionThread, Clock clock, long timeoutMs)
      throws InterruptedException {
    CompletableFuture<Incarnations.Start> allocated = new CompletableFuture<>();
    decisionThread.execute(
        () ->
            Incarnations.nextStart(name, store, clock)
                .whenComplete(
                    (start, failure) -> {
                      if (failure == null) {
                        allocated.complete(start);
                      } else {
                        allocated.completeExceptionally(failure);
                      }
                    }));
    try {
      return allocated.get(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      long clockMs = clock.nowMs();
      EventLog.write(
          LogEvent.INCARNATION_GUESSED, "incarnation=%d reason=%s".formatted(clockMs, e));
      return new Incarnations.Start(clockMs, true);
    }
  }
}
