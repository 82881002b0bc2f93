package org.currantslip.node.wiring;

import java.util.concurrent.atomic.AtomicLong;
import org.currantslip.core.common.Clock;

/** The system's time, which never goes back within a process. */
final class WallClock implements Clock {
  private final AtomicLong latestMs = new AtomicLong();

  private WallClock() {}

  static WallClock create() {
    return new WallClock();
  }

  @Override
  public long nowMs() {
    return latestMs.accumulateAndGet(System.currentTimeMillis(), Math::max);
  }
}
