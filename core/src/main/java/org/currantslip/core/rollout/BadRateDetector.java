package org.currantslip.core.rollout;

import java.util.Arrays;

/**
 * Detects by a sequential test that a share of bad outcomes has risen above its base rate.
 *
 * <p>The statistic is a mixture of likelihood ratios over several bad rates and over the request at
 * which the rate rose. Half of the prior mass lies on the first request and the other half is
 * spread evenly over one stage, so that by Ville's inequality a good version is stopped within a
 * stage with at most the accepted probability.
 */
final class BadRateDetector {
  private static final double MASS_AT_START = 0.5;

  private final double[] badFactor;
  private final double[] goodFactor;
  private final double[] ratios;
  private final double massPerRequest;
  private final double threshold;
  private double goodSeen;
  private double badSeen;
  private boolean stopped;

  private BadRateDetector(double base, double[] badRates, double falseStop, int stageRequests) {
    badFactor = Arrays.stream(badRates).map(p -> p / base).toArray();
    goodFactor = Arrays.stream(badRates).map(p -> (1 - p) / (1 - base)).toArray();
    ratios = new double[badRates.length];
    Arrays.fill(ratios, MASS_AT_START / badRates.length);
    massPerRequest = (1 - MASS_AT_START) / stageRequests / badRates.length;
    threshold = 1 / falseStop;
  }

  /** Returns a detector of {@code base} against the {@code badRates}. */
  static BadRateDetector create(
      double base, double[] badRates, double falseStop, int stageRequests) {
    return new BadRateDetector(base, badRates, falseStop, stageRequests);
  }

  /** Takes outcomes whose order is unknown; returns whether the rate has risen. */
  boolean add(long good, long bad) {
    goodSeen += good;
    badSeen += bad;
    for (int i = 0; i < ratios.length; i++) {
      double mass = ratios[i] + massPerRequest * (good + bad);
      ratios[i] = mass * Math.pow(badFactor[i], bad) * Math.pow(goodFactor[i], good);
    }
    stopped |= Arrays.stream(ratios).sum() >= threshold;
    return stopped;
  }

  /** Returns whether the rate has risen. */
  boolean stopped() {
    return stopped;
  }

  /** Returns the odds against the base rate, on the accepted evidence. */
  double odds() {
    return Arrays.stream(ratios).sum();
  }

  long good() {
    return (long) goodSeen;
  }

  long bad() {
    return (long) badSeen;
  }
}
