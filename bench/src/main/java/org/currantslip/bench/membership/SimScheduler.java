package org.currantslip.bench.membership;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.currantslip.core.common.ManualClock;

/**
 * Runs scheduled actions on a simulated clock, ordered by time and then by the order of scheduling.
 */
final class SimScheduler {
  private record Event(long atMs, long sequence, Runnable action) {}

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final PriorityQueue<Event> queue =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private long sequence;

  ManualClock clock() {
    return clock;
  }

  void after(long delayMs, Runnable action) {
    queue.add(new Event(clock.nowMs() + delayMs, sequence++, action));
  }

  void advance(long durationMs) {
    for (long i = 0; i < durationMs; i++) {
      clock.advance(1);
      for (Event event = queue.peek();
          event != null && event.atMs() <= clock.nowMs();
          event = queue.peek()) {
        queue.remove();
        event.action().run();
      }
    }
  }
}
