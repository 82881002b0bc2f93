package org.currantslip.node.duty;

import org.jctools.queues.MpscArrayQueue;

/** A bounded multi-producer, single-consumer queue of tasks. */
public final class TaskRing {
  private final MpscArrayQueue<Runnable> tasks;

  private TaskRing(int capacity) {
    tasks = new MpscArrayQueue<>(capacity);
  }

  /** Creates an empty ring with room for at least {@code capacity} tasks. */
  public static TaskRing ofCapacity(int capacity) {
    return new TaskRing(capacity);
  }

  /** Adds a task; returns false when the ring is full. */
  public boolean offer(Runnable task) {
    return tasks.offer(task);
  }

  /** Runs up to {@code limit} tasks on the consumer thread; returns the number of tasks run. */
  public int drain(int limit, TaskRunner runner) {
    for (int i = 0; i < limit; i++) {
      // poll() waits for a producer that has claimed a slot but not yet stored its task; the
      // queue's
      // own drain() would report an empty ring in this case.
      Runnable task = tasks.poll();
      if (task == null) {
        return i;
      }
      runner.run(task);
    }
    return limit;
  }

  /** Returns whether the ring has no tasks. */
  public boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Returns the approximate number of queued tasks. */
  public int size() {
    return tasks.size();
  }

  /** Executes the tasks of a ring. */
  @FunctionalInterface
  public interface TaskRunner {
    /** Runs {@code task}; must not throw. */
    void run(Runnable task);
  }
}
