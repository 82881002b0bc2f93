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

/** Numbers that tell one start of a node from another. */
public final class StartNumbers {
  private StartNumbers() {}

  /**
   * Asks the store for an incarnation, and takes the clock's when the store is out.
   *
   * @param decisions the thread on which the store answers
   * @param waitMs longest wait for the store
   */
  public static long incarnation(
      String name, ObjectStore store, Executor decisions, Clock clock, long waitMs)
      throws InterruptedException {
    CompletableFuture<Long> found = new CompletableFuture<>();
    decisions.execute(
        () ->
            Incarnations.next(name, store, clock)
                .whenComplete(
                    (number, failure) -> {
                      if (failure == null) {
                        found.complete(number);
                      } else {
                        found.completeExceptionally(failure);
                      }
                    }));
    try {
      return found.get(waitMs, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      long byClock = clock.nowMs();
      EventLog.write(
          LogEvent.INCARNATION_GUESSED, "incarnation=%d reason=%s".formatted(byClock, e));
      return byClock;
    }
  }
}
