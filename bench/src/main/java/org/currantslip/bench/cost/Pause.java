package org.currantslip.bench.cost;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Waits without using processor time. */
final class Pause {
  private Pause() {}

  static void ms(long durationMs) {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMs);
    for (long leftNs = endNs - System.nanoTime(); leftNs > 0; leftNs = endNs - System.nanoTime()) {
      LockSupport.parkNanos(leftNs);
    }
  }
}
