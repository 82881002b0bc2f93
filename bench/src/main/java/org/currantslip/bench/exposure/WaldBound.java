package org.currantslip.bench.exposure;

/** Computes Wald's expected sample number of a sequential probability ratio test. */
final class WaldBound {
  private WaldBound() {}

  /**
   * Returns the expected number of outcomes that a test needs to detect {@code badRate} instead of
   * {@code baseRate}, if it stops a good version with probability {@code falseStopRate} and misses
   * no bad one.
   */
  static double expectedSamples(double baseRate, double badRate, double falseStopRate) {
    double divergence =
        badRate * Math.log(badRate / baseRate)
            + (1 - badRate) * Math.log((1 - badRate) / (1 - baseRate));
    return Math.log(1 / falseStopRate) / divergence;
  }
}
