package org.currantslip.standin.load;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests with Poisson arrivals that do not depend on the answers, so that a slow answer
 * delays no later request; latency is measured from the time a request was due.
 */
final class OpenLoop implements Runnable {
  private static final double NANOS_PER_S = 1e9;

  private final LoadTarget target;
  private final LoadOptions options;
  private final Random random;

  OpenLoop(LoadTarget target, LoadOptions options) {
    this.target = target;
    this.options = options;
    random = new Random(options.seed() + target.name().hashCode());
  }

  @Override
  public void run() {
    long startNanos = System.nanoTime();
    long countFromNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(options.warmUpMs());
    long endNanos = countFromNanos + TimeUnit.MILLISECONDS.toNanos(options.durationMs());
    for (long due = nextDue(startNanos); due < endNanos; due = nextDue(due)) {
      for (long now = System.nanoTime(); now < due; now = System.nanoTime()) {
        LockSupport.parkNanos(due - now);
      }
      var unused = target.send(due, due >= countFromNanos);
    }
  }

  private long nextDue(long afterNanos) {
    double gapS = -Math.log(1 - random.nextDouble()) / options.ratePerS();
    return afterNanos + (long) (gapS * NANOS_PER_S);
  }
}
