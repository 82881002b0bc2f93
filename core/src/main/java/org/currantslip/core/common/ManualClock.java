package org.currantslip.core.common;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicLong;

/** A manually advanced clock, for tests and experiments. */
public final class ManualClock implements Clock {
  private final AtomicLong nowMs;

  private ManualClock(long startMs) {
    nowMs = new AtomicLong(startMs);
  }

  /** Returns a clock set to {@code startMs}. */
  public static ManualClock startingAt(long startMs) {
    return new ManualClock(startMs);
  }

  @Override
  public long nowMs() {
    return nowMs.get();
  }

  /** Advances the clock by {@code stepMs} milliseconds. */
  public void advance(long stepMs) {
    checkArgument(stepMs >= 0, "negative step: %s", stepMs);
    nowMs.addAndGet(stepMs);
  }
}
