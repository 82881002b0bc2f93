package org.currantslip.core.common;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when told to, for tests and experiments. */
public final class DrivenClock implements Clock {
  private final AtomicLong nowMs;

  private DrivenClock(long startMs) {
    nowMs = new AtomicLong(startMs);
  }

  /** Returns a clock that stands at {@code startMs}. */
  public static DrivenClock startingAt(long startMs) {
    return new DrivenClock(startMs);
  }

  @Override
  public long nowMs() {
    return nowMs.get();
  }

  /** Moves the clock forward by {@code byMs} milliseconds. */
  public void advance(long byMs) {
    checkArgument(byMs >= 0, "negative step: %s", byMs);
    nowMs.addAndGet(byMs);
  }
}
