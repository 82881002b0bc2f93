package org.currantslip.core.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.currantslip.core.common.ManualClock;

/** A queue of timed events that run only when the test advances the clock. */
public final class FakeEvents {
  private final ManualClock clock;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private long order;

  private record Event(long atMs, long order, Runnable action) {}

  private FakeEvents(ManualClock clock) {
    this.clock = clock;
  }

  /** Returns an empty event queue that uses the given clock. */
  public static FakeEvents on(ManualClock clock) {
    return new FakeEvents(clock);
  }

  /** Returns the clock that drives the events. */
  public ManualClock clock() {
    return clock;
  }

  /** Schedules {@code action} to run after {@code delayMs} of clock time. */
  public void after(long delayMs, Runnable action) {
    queue.add(new Event(clock.nowMs() + delayMs, order++, action));
  }

  /** Runs all due events, including due events that they schedule. */
  public void runDue() {
    for (Event e = queue.peek(); e != null && e.atMs() <= clock.nowMs(); e = queue.peek()) {
      queue.remove();
      e.action().run();
    }
  }

  /** Advances the clock in steps of one millisecond and runs the due events after each step. */
  public void advance(long byMs) {
    runDue();
    for (long i = 0; i < byMs; i++) {
      clock.advance(1);
      runDue();
    }
  }
}
