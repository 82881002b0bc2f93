package org.currantslip.node.poll;

import org.currantslip.core.common.Clock;

/** Schedules a periodic task; a run that has not finished is never overlapped by the next. */
final class PollSchedule {
  private final Clock clock;
  private final long intervalMs;
  private long nextStartMs;
  private boolean running;

  private PollSchedule(Clock clock, long intervalMs) {
    this.clock = clock;
    this.intervalMs = intervalMs;
  }

  static PollSchedule of(Clock clock, long intervalMs) {
    return new PollSchedule(clock, intervalMs);
  }

  /** Returns whether the task is due, and marks it as running if so. */
  boolean tryStart() {
    if (running || clock.nowMs() < nextStartMs) {
      return false;
    }
    running = true;
    nextStartMs = clock.nowMs() + intervalMs;
    return true;
  }

  void finish() {
    running = false;
  }
}
