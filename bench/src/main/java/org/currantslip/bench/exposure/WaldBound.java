package org.currantslip.bench.exposure;

/** Wald's expected sample number of a sequential probability ratio test. */
final class WaldBound {
  private WaldBound() {}

  /**
   * Returns the outcomes that a test needs on average to find {@code bad} instead of {@code base},
   * when it stops a good version with probability {@code falseStop} and misses no bad one.
   */
  static double samples(double base, double bad, double falseStop) {
    double information = bad * Math.log(bad / base) + (1 - bad) * Math.log((1 - bad) / (1 - base));
    return Math.log(1 / falseStop) / information;
  }
}
