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
 * <p>When there is more work than time, control messages go first, then due ticks, completions of
 * work in progress, and new requests. Completions and requests each get a slice of every round, so
 * that neither starves. New requests arrive through a ring that rejects them when it is full; the
 * other rings block the sender while they are full, so that nothing is lost.
 */
public final class DecisionThread implements Executor {
  private static final int REQUEST_CAPACITY = 1 << 12;
  private static final int COMPLETION_CAPACITY = 1 << 14;
  private static final int CONTROL_CAPACITY = 1 << 13;
  private static final int BATCH_SIZE = 256;
  private static final long COMPLETION_SLICE_MS = 10;
  private static final long REQUEST_SLICE_MS = 5;

  /** Short compared with all timeouts of requests. */
  private static final long TICK_INTERVAL_MS = 25;

  /** Short compared with all timeouts but those of requests; each tick wakes an idle node up. */
  private static final long IDLE_TICK_INTERVAL_MS = 100;

  private static final long RING_FULL_PARK_NS = 50_000;

  private final TaskRing requests;
  private final TaskRing completions;
  private final TaskRing control = TaskRing.ofCapacity(CONTROL_CAPACITY);
  private final ArrayDeque<Runnable> ownTasks = new ArrayDeque<>();
  private final List<Runnable> tickTasks = new ArrayList<>();
  private final Clock clock;
  private final Thread thread;
  private BooleanSupplier idle = () -> false;
  private volatile boolean parked;
  private volatile boolean stopped;
  private volatile long roundStartedMs;
  private volatile long requestDelayMs;
  private volatile double msPerRequest;
  private long lastRequestMs;
  private boolean requestsLeft;

  private DecisionThread(Clock clock, int requestCapacity, int completionCapacity) {
    this.clock = clock;
    roundStartedMs = clock.nowMs();
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
    long offeredMs = clock.nowMs();
    boolean accepted =
        !stopped
            && requests.offer(
                () -> {
                  requestDelayMs = clock.nowMs() - offeredMs;
                  task.run();
                });
    unparkIfParked();
    return accepted;
  }

  /** Enqueues a completion; blocks while the ring is full, except on this thread. */
  @Override
  public void execute(Runnable task) {
    enqueue(completions, task);
  }

  /**
   * Returns an executor for messages that change what later decisions rely on, such as those of
   * peers and of the store. They run before completions and requests.
   */
  public Executor control() {
    return task -> enqueue(control, task);
  }

  private void enqueue(TaskRing ring, Runnable task) {
    if (Thread.currentThread() == thread) {
      ownTasks.add(task);
      return;
    }
    while (!stopped && !ring.offer(task)) {
      LockSupport.parkNanos(this, RING_FULL_PARK_NS);
    }
    unparkIfParked();
  }

  /** Returns the approximate number of queued tasks. */
  public int waiting() {
    return requests.size() + completions.size() + control.size();
  }

  /** Returns about how long a request that is offered now waits until it begins. */
  public long lagMs() {
    int requestCount = requests.size();
    long delayMs =
        requestCount == 0 ? 0 : Math.max(requestDelayMs, Math.round(requestCount * msPerRequest));
    return parked ? delayMs : Math.max(delayMs, clock.nowMs() - roundStartedMs);
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
      roundStartedMs = clock.nowMs();
      int taskCount = runOwnTasks();
      taskCount += control.drain(BATCH_SIZE, this::runSafely);
      if (isTickDue(clock.nowMs() - lastTickMs)) {
        lastTickMs = clock.nowMs();
        tickTasks.forEach(this::runSafely);
        taskCount++;
      }
      taskCount += drainFor(completions, COMPLETION_SLICE_MS);
      taskCount += runRequests();
      if (taskCount == 0) {
        long intervalMs = idle.getAsBoolean() ? IDLE_TICK_INTERVAL_MS : TICK_INTERVAL_MS;
        park(Math.max(0, lastTickMs + intervalMs - clock.nowMs()));
      }
    }
  }

  private boolean isTickDue(long sinceLastMs) {
    return sinceLastMs >= IDLE_TICK_INTERVAL_MS
        || (sinceLastMs >= TICK_INTERVAL_MS && !idle.getAsBoolean());
  }

  /** Runs requests for a slice, and measures what each takes with all that runs in between. */
  private int runRequests() {
    long fromMs = requestsLeft ? lastRequestMs : roundStartedMs;
    int count = drainFor(requests, REQUEST_SLICE_MS);
    lastRequestMs = clock.nowMs();
    requestsLeft = !requests.isEmpty();
    msPerRequest = requestsLeft ? (double) (lastRequestMs - fromMs) / Math.max(1, count) : 0;
    return count;
  }

  /** Runs tasks of a ring until it is empty or the time is over, and at least one. */
  private int drainFor(TaskRing ring, long sliceMs) {
    long endMs = clock.nowMs() + sliceMs;
    int count = 0;
    while (ring.drain(1, this::runSafely) > 0) {
      count++;
      if (clock.nowMs() >= endMs) {
        break;
      }
    }
    return count;
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
    if (ownTasks.isEmpty() && waiting() == 0 && !stopped) {
      LockSupport.parkNanos(this, TimeUnit.MILLISECONDS.toNanos(timeoutMs));
    }
    parked = false;
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      EventLog.write(LogEvent.TASK_FAILED, "thread=decision", e);
    }
  }
}
