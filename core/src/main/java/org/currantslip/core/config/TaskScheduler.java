package org.currantslip.core.config;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.StoreException;

/** Runs delayed tasks when they are due; driven by {@link #tick}. */
final class TaskScheduler {
  private final Clock clock;
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::dueMs).thenComparingLong(Task::sequence));
  private long sequence;

  private TaskScheduler(Clock clock) {
    this.clock = clock;
  }

  private record Task(long dueMs, long sequence, Runnable action) {}

  static TaskScheduler create(Clock clock) {
    return new TaskScheduler(clock);
  }

  void schedule(long delayMs, Runnable action) {
    tasks.add(new Task(clock.nowMs() + delayMs, sequence++, action));
  }

  /** Fails a store call that gets no reply in time; the call may still take effect. */
  <T> CompletableFuture<T> withTimeout(long timeoutMs, CompletableFuture<T> call) {
    if (!call.isDone()) {
      schedule(
          timeoutMs,
          () ->
              call.completeExceptionally(
                  StoreException.of(
                      StoreException.Kind.OUTCOME_UNKNOWN, "timed out waiting for a reply")));
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
