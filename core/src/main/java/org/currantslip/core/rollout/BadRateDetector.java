package org.currantslip.core.rollout;

import java.util.Arrays;

/**
 * Detects by a sequential test that a share of bad outcomes has risen above its base rate.
 *
 * <p>The statistic is a mixture of likelihood ratios over several bad rates and over the request at
 * which the rate rose. The prior mass of one stage adds up to one, so that by Ville's inequality a
 * good version is stopped within a stage with at most the accepted probability.
 */
final class BadRateDetector {
  private static final double[] WEIGHTS = {0.2, 0.3, 0.5};

  private final double[] badWeight;
  private final double[] goodWeight;
  private final double[] ratios;
  private final double massPerRequest;
  private final double threshold;
  private long goodSeen;
  private long badSeen;
  private boolean stopped;

  private BadRateDetector(
      double base, double[] badRates, double falseStop, int stageRequests, double massAtStart) {
    badWeight = Arrays.stream(badRates).map(p -> Math.log(p / base)).toArray();
    goodWeight = Arrays.stream(badRates).map(p -> Math.log((1 - p) / (1 - base))).toArray();
    ratios = Arrays.stream(WEIGHTS).map(w -> w * massAtStart).toArray();
    massPerRequest = (1 - massAtStart) / stageRequests;
    threshold = 1 / falseStop;
  }

  /**
   * Returns a detector of three rates above {@code base}.
   *
   * @param badRates the rates, mildest first
   * @param falseStop accepted probability of a stop within a stage at the base rate
   * @param stageRequests length of a stage
   * @param massAtStart prior probability that the rate is raised from the first request on
   */
  static BadRateDetector create(
      double base, double[] badRates, double falseStop, int stageRequests, double massAtStart) {
    return new BadRateDetector(base, badRates, falseStop, stageRequests, massAtStart);
  }

  /** Takes outcomes whose order is unknown; returns whether the rate has risen. */
  boolean add(long good, long bad) {
    goodSeen += good;
    badSeen += bad;
    for (int i = 0; i < ratios.length; i++) {
      double mass = ratios[i] + WEIGHTS[i] * massPerRequest * (double) (good + bad);
      ratios[i] = mass * Math.exp((double) bad * badWeight[i] + (double) good * goodWeight[i]);
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
    return goodSeen;
  }

  long bad() {
    return badSeen;
  }
}
