package org.currantslip.core.config;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.StoreException;

/** Runs tasks once their time has come; driven by {@link #tick}. */
final class DueTasks {
  private final Clock clock;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMs).thenComparingLong(Task::sequence));
  private long sequence;

  private DueTasks(Clock clock) {
    this.clock = clock;
  }

  private record Task(long dueMs, long sequence, Runnable action) {}

  static DueTasks create(Clock clock) {
    return new DueTasks(clock);
  }

  void after(long delayMs, Runnable action) {
    tasks.add(new Task(clock.nowMs() + delayMs, sequence++, action));
  }

  /** Fails a store call that does not answer in time; it may still take effect. */
  <T> CompletableFuture<T> within(long timeoutMs, CompletableFuture<T> call) {
    if (!call.isDone()) {
      after(
          timeoutMs,
          () ->
              call.completeExceptionally(
                  StoreException.of(StoreException.Kind.OUTCOME_UNKNOWN, "no answer in time")));
    }
    return call;
  }

  void tick() {
    for (Task task = tasks.peek();
        task != null && task.dueMs() <= clock.nowMs();
        task = tasks.peek()) {
      tasks.poll();
      task.action().run();
    }
  }
}
