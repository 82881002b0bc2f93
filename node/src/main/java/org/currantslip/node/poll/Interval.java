package org.currantslip.node.poll;

import org.currantslip.core.common.Clock;

/** Says when a periodic task is due; a task still running is not due again. */
final class Interval {
  private final Clock clock;
  private final long everyMs;
  private long nextMs;
  private boolean running;

  private Interval(Clock clock, long everyMs) {
    this.clock = clock;
    this.everyMs = everyMs;
  }

  static Interval of(Clock clock, long everyMs) {
    return new Interval(clock, everyMs);
  }

  /** Returns whether the task is due, and counts it as begun if so. */
  boolean begin() {
    if (running || clock.nowMs() < nextMs) {
      return false;
    }
    running = true;
    nextMs = clock.nowMs() + everyMs;
    return true;
  }

  void end() {
    running = false;
  }
}
