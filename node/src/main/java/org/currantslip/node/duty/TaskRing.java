package org.currantslip.node.duty;

import org.jctools.queues.MpscArrayQueue;

/** A bounded ring of tasks from many threads to one. */
public final class TaskRing {
  private final MpscArrayQueue<Runnable> tasks;

  private TaskRing(int capacity) {
    tasks = new MpscArrayQueue<>(capacity);
  }

  /** Returns an empty ring for at least {@code capacity} tasks. */
  public static TaskRing ofCapacity(int capacity) {
    return new TaskRing(capacity);
  }

  /** Adds a task; returns false when the ring is full. */
  public boolean offer(Runnable task) {
    return tasks.offer(task);
  }

  /** Runs up to {@code limit} tasks on the one consuming thread; returns how many there were. */
  public int drain(int limit, TaskRunner runner) {
    for (int i = 0; i < limit; i++) {
      // poll() waits for a producer that has its place but not yet its task in the ring; the
      // queue's own drain() would report an empty ring then.
      Runnable task = tasks.poll();
      if (task == null) {
        return i;
      }
      runner.run(task);
    }
    return limit;
  }

  /** Returns whether there is nothing to run. */
  public boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Returns about how many tasks wait. */
  public int size() {
    return tasks.size();
  }

  /** Runs one task. */
  @FunctionalInterface
  public interface TaskRunner {
    /** Runs {@code task} and lets no exception through. */
    void run(Runnable task);
  }
}
