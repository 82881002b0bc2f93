package org.currantslip.node.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;

/**
 * Event loop on a single thread, which owns all state used for decisions.
 *
 * <p>New requests arrive through a ring that rejects them when it is full. Completions of work in
 * progress arrive through a separate ring that blocks the sender while it is full, so that none is
 * lost.
 */
public final class DecisionThread implements Executor {
  private static final int REQUEST_CAPACITY = 1 << 12;
  private static final int COMPLETION_CAPACITY = 1 << 14;
  private static final int BATCH_SIZE = 256;

  /** Short compared with all timeouts of requests. */
  private static final long TICK_INTERVAL_MS = 25;

  /** Short compared with all timeouts but those of requests; each tick wakes an idle node up. */
  private static final long IDLE_TICK_INTERVAL_MS = 100;

  private static final long RING_FULL_PARK_NS = 50_000;

  private final TaskRing requests;
  private final TaskRing completions;
  private final ArrayDeque<Runnable> ownTasks = new ArrayDeque<>();
  private final List<Runnable> tickTasks = new ArrayList<>();
  private final Clock clock;
  private final Thread thread;
  private BooleanSupplier idle = () -> false;
  private volatile boolean parked;
  private volatile boolean stopped;

  private DecisionThread(Clock clock, int requestCapacity, int completionCapacity) {
    this.clock = clock;
    requests = TaskRing.ofCapacity(requestCapacity);
    completions = TaskRing.ofCapacity(completionCapacity);
    thread = new Thread(this::run, "decision");
  }

  /** Creates a thread with the default ring capacities; {@link #start} starts it. */
  public static DecisionThread create(Clock clock) {
    return create(clock, REQUEST_CAPACITY, COMPLETION_CAPACITY);
  }

  /** Creates a thread with the given ring capacities; {@link #start} starts it. */
  public static DecisionThread create(Clock clock, int requestCapacity, int completionCapacity) {
    return new DecisionThread(clock, requestCapacity, completionCapacity);
  }

  /** Adds a task that runs at every tick; call it before the start or on this thread only. */
  public void onTick(Runnable tickTask) {
    tickTasks.add(tickTask);
  }

  /**
   * Sets the condition under which ticks are less frequent; call it before the start or on this
   * thread only.
   */
  public void setIdle(BooleanSupplier condition) {
    idle = condition;
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Enqueues a new request; returns false if the request ring is full or the thread stopped. */
  public boolean offerRequest(Runnable task) {
    boolean accepted = !stopped && requests.offer(task);
    unparkIfParked();
    return accepted;
  }

  /** Enqueues a completion; blocks while the ring is full, except on this thread. */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      ownTasks.add(task);
      return;
    }
    while (!stopped && !completions.offer(task)) {
      LockSupport.parkNanos(this, RING_FULL_PARK_NS);
    }
    unparkIfParked();
  }

  /** Returns the approximate number of queued requests and completions. */
  public int waiting() {
    return requests.size() + completions.size();
  }

  /** Stops the thread after the current batch of tasks and waits for it to end. */
  public void stop() throws InterruptedException {
    stopped = true;
    LockSupport.unpark(thread);
    if (Thread.currentThread() != thread) {
      thread.join();
    }
  }

  private void unparkIfParked() {
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  private void run() {
    long lastTickMs = clock.nowMs() - TICK_INTERVAL_MS;
    while (!stopped) {
      int taskCount = runOwnTasks();
      taskCount += completions.drain(BATCH_SIZE, this::runSafely);
      taskCount += requests.drain(BATCH_SIZE, this::runSafely);
      long nowMs = clock.nowMs();
      long nextTickMs =
          lastTickMs + (idle.getAsBoolean() ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS);
      if (nowMs >= nextTickMs) {
        lastTickMs = nowMs;
        tickTasks.forEach(this::runSafely);
      } else if (taskCount == 0) {
        park(nextTickMs - nowMs);
      }
    }
  }

  private int runOwnTasks() {
    int count = ownTasks.size();
    for (int i = 0; i < count; i++) {
      runSafely(ownTasks.remove());
    }
    return count;
  }

  private void park(long timeoutMs) {
    parked = true;
    if (ownTasks.isEmpty() && completions.isEmpty() && requests.isEmpty() && !stopped) {
      LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(timeoutMs));
    }
    parked = false;
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      EventLog.write(LogEvent.TASK_FAILED, "thread=decision", e);
    }
  }
}
