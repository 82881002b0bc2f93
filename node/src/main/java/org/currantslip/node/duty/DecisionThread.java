package org.currantslip.node.duty;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;

/**
 * The one thread that owns all state of the decisions.
 *
 * <p>New requests come through a ring that refuses when it is full. Completions of work already
 * begun come through a ring of their own, which holds their sender back instead, so that none is
 * lost.
 */
public final class DecisionThread implements Executor {
  private static final int REQUEST_CAPACITY = 1 << 12;
  private static final int COMPLETION_CAPACITY = 1 << 14;
  private static final int BATCH = 256;

  /** Small against all timeouts; each tick of an idle node costs a wake-up. */
  private static final long TICK_MS = 25;

  private static final long FULL_PARK_NS = 50_000;

  private final TaskRing requests;
  private final TaskRing completions;
  private final ArrayDeque<Runnable> own = new ArrayDeque<>();
  private final List<Runnable> tickers = new ArrayList<>();
  private final Clock clock;
  private final Thread thread;
  private volatile boolean parked;
  private volatile boolean stopped;

  private DecisionThread(Clock clock, int requestCapacity, int completionCapacity) {
    this.clock = clock;
    requests = TaskRing.ofCapacity(requestCapacity);
    completions = TaskRing.ofCapacity(completionCapacity);
    thread = new Thread(this::run, "decision");
  }

  /** Returns a thread that has not started yet. */
  public static DecisionThread create(Clock clock) {
    return create(clock, REQUEST_CAPACITY, COMPLETION_CAPACITY);
  }

  /** Returns a thread with rings of these sizes. */
  public static DecisionThread create(Clock clock, int requestCapacity, int completionCapacity) {
    return new DecisionThread(clock, requestCapacity, completionCapacity);
  }

  /** Adds what is to run at every tick; only before the start or on the thread itself. */
  public void onTick(Runnable ticker) {
    tickers.add(ticker);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Passes a new request on; returns false when too many wait already. */
  public boolean offerRequest(Runnable task) {
    boolean taken = !stopped && requests.offer(task);
    wake();
    return taken;
  }

  /** Passes a completion on; waits for room, except on the thread itself. */
  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      own.add(task);
      return;
    }
    while (!stopped && !completions.offer(task)) {
      LockSupport.parkNanos(this, FULL_PARK_NS);
    }
    wake();
  }

  /** Returns about how many requests and completions wait. */
  public int waiting() {
    return requests.size() + completions.size();
  }

  /** Ends the thread after the tasks at hand, and waits for it. */
  public void stop() throws InterruptedException {
    stopped = true;
    LockSupport.unpark(thread);
    if (Thread.currentThread() != thread) {
      thread.join();
    }
  }

  private void wake() {
    if (parked) {
      LockSupport.unpark(thread);
    }
  }

  private void run() {
    long nextTickMs = clock.nowMs();
    while (!stopped) {
      int done = runOwn();
      done += completions.drain(BATCH, this::runSafely);
      done += requests.drain(BATCH, this::runSafely);
      long nowMs = clock.nowMs();
      if (nowMs >= nextTickMs) {
        nextTickMs = nowMs + TICK_MS;
        tickers.forEach(this::runSafely);
      } else if (done == 0) {
        park(Math.min(TICK_MS, nextTickMs - nowMs));
      }
    }
  }

  private int runOwn() {
    int count = own.size();
    for (int i = 0; i < count; i++) {
      runSafely(own.remove());
    }
    return count;
  }

  private void park(long forMs) {
    parked = true;
    if (own.isEmpty() && completions.isEmpty() && requests.isEmpty() && !stopped) {
      LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(forMs));
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
