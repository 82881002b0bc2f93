package org.currantslip.standin.demo;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions by polling. */
public final class Waiting {
  private static final long POLL_INTERVAL_MS = 20;

  private Waiting() {}

  /** Polls until a condition holds; returns false if it does not within the timeout. */
  public static boolean until(long timeoutMs, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        return false;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS));
    }
    return true;
  }
}
