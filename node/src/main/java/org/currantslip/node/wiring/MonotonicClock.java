package org.currantslip.node.wiring;

import java.util.concurrent.TimeUnit;
import org.currantslip.core.common.Clock;

/**
 * Clock that starts at the wall-clock time and advances with {@link System#nanoTime}, so later
 * adjustments of the wall clock do not affect it.
 */
public final class MonotonicClock implements Clock {
  private final long startWallMs = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  private MonotonicClock() {}

  /** Returns a clock. */
  public static MonotonicClock create() {
    return new MonotonicClock();
  }

  @Override
  public long nowMs() {
    return startWallMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
