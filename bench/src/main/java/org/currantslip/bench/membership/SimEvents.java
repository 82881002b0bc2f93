package org.currantslip.bench.membership;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.currantslip.core.common.ManualClock;

/** Events in the order of their time, on a driven clock. */
final class SimEvents {
  private record Event(long atMs, long order, Runnable action) {}

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private long order;

  ManualClock clock() {
    return clock;
  }

  void after(long delayMs, Runnable action) {
    queue.add(new Event(clock.nowMs() + delayMs, order++, action));
  }

  void advance(long byMs) {
    for (long i = 0; i < byMs; i++) {
      clock.advance(1);
      for (Event e = queue.peek(); e != null && e.atMs() <= clock.nowMs(); e = queue.peek()) {
        queue.remove();
        e.action().run();
      }
    }
  }
}
