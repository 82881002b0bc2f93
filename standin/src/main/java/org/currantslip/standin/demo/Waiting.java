package org.currantslip.standin.demo;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits on conditions of other processes. */
public final class Waiting {
  private static final long STEP_MS = 20;

  private Waiting() {}

  /** Polls until a condition holds, and returns false when it does not within the limit. */
  public static boolean until(long limitMs, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        return false;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STEP_MS));
    }
    return true;
  }
}
