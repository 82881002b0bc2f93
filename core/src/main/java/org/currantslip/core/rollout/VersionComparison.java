package org.currantslip.core.rollout;

/**
 * Tests whether a new version performs worse than the one it replaces, using a mixture of
 * likelihood ratios over several rates of bad answers.
 *
 * <p>The base rate is derived from the old version over the same period, so a fault that affects
 * both versions alike halts neither.
 */
final class VersionComparison {
  /** Rate of bad answers tolerated in any version; differences below it are ignored. */
  private static final double TOLERATED_BAD_RATE = 0.02;

  /** Factor by which the observed rate of the old version may be too low by chance. */
  private static final double BASE_RATE_MARGIN = 1.5;

  /** Fractions of good answers that become bad under the alternatives. */
  private static final double[] ALTERNATIVE_FRACTIONS = {0.12, 0.35, 0.7};

  private static final double[] ALTERNATIVE_WEIGHTS = {0.3, 0.4, 0.3};

  /** Bound on the probability of halting a good version within one comparison. */
  private static final double FALSE_HALT_PROBABILITY = 1e-3;

  private static final double MAX_BASE_RATE = 0.9;

  private VersionComparison() {}

  /** Returns whether {@code bad} of {@code total} is worse than the old version's rate. */
  static boolean isWorse(long bad, long total, long oldBad, long oldTotal) {
    if (bad == 0) {
      return false;
    }
    double observedRate = (oldBad + TOLERATED_BAD_RATE) / (oldTotal + 1.0);
    double baseRate = Math.min(MAX_BASE_RATE, TOLERATED_BAD_RATE + BASE_RATE_MARGIN * observedRate);
    double likelihoodRatio = 0;
    for (int i = 0; i < ALTERNATIVE_FRACTIONS.length; i++) {
      double rate = baseRate + (1 - baseRate) * ALTERNATIVE_FRACTIONS[i];
      double logLikelihoodRatio =
          bad * Math.log(rate / baseRate) + (total - bad) * Math.log((1 - rate) / (1 - baseRate));
      likelihoodRatio += ALTERNATIVE_WEIGHTS[i] * Math.exp(logLikelihoodRatio);
    }
    return likelihoodRatio >= 1 / FALSE_HALT_PROBABILITY;
  }
}
