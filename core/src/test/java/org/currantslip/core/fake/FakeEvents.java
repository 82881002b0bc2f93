package org.currantslip.core.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.currantslip.core.common.DrivenClock;

/** Events ordered by time; they run only when the test moves the clock. */
public final class FakeEvents {
  private final DrivenClock clock;
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private long order;

  private record Event(long atMs, long order, Runnable action) {}

  private FakeEvents(DrivenClock clock) {
    this.clock = clock;
  }

  /** Returns an empty queue on this clock. */
  public static FakeEvents on(DrivenClock clock) {
    return new FakeEvents(clock);
  }

  /** Returns the clock that drives the events. */
  public DrivenClock clock() {
    return clock;
  }

  /** Runs {@code action} once the clock stands {@code delayMs} further on. */
  public void after(long delayMs, Runnable action) {
    queue.add(new Event(clock.nowMs() + delayMs, order++, action));
  }

  /** Runs all events that are due now, with those they cause. */
  public void runDue() {
    for (Event e = queue.peek(); e != null && e.atMs() <= clock.nowMs(); e = queue.peek()) {
      queue.remove();
      e.action().run();
    }
  }

  /** Moves the clock on by one millisecond at a time, running what falls due. */
  public void advance(long byMs) {
    runDue();
    for (long i = 0; i < byMs; i++) {
      clock.advance(1);
      runDue();
    }
  }
}
