package org.currantslip.standin.load;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests at random times that do not depend on the answers, so that a slow answer delays no
 * later request; latency counts from the time a request was due.
 */
final class OpenLoop implements Runnable {
  private static final double NANOS_PER_S = 1e9;

  private final LoadArm arm;
  private final LoadOptions options;
  private final Random random;

  OpenLoop(LoadArm arm, LoadOptions options) {
    this.arm = arm;
    this.options = options;
    random = new Random(options.seed() + arm.name().hashCode());
  }

  @Override
  public void run() {
    long startNanos = System.nanoTime();
    long countFromNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(options.warmUpMs());
    long endNanos = countFromNanos + TimeUnit.MILLISECONDS.toNanos(options.lengthMs());
    for (long due = next(startNanos); due < endNanos; due = next(due)) {
      for (long now = System.nanoTime(); now < due; now = System.nanoTime()) {
        LockSupport.parkNanos(due - now);
      }
      var unused = arm.send(due, due >= countFromNanos);
    }
  }

  private long next(long afterNanos) {
    double gapS = -Math.log(1 - random.nextDouble()) / options.ratePerS();
    return afterNanos + (long) (gapS * NANOS_PER_S);
  }
}
