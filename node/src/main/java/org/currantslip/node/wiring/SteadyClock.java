package org.currantslip.node.wiring;

import java.util.concurrent.TimeUnit;
import org.currantslip.core.common.Clock;

/** The time of day at the start, moved on by the steady clock: no jump of the time of day shows. */
public final class SteadyClock implements Clock {
  private final long startMs = System.currentTimeMillis();
  private final long startNs = System.nanoTime();

  private SteadyClock() {}

  /** Returns a clock. */
  public static SteadyClock create() {
    return new SteadyClock();
  }

  @Override
  public long nowMs() {
    return startMs + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
  }
}
