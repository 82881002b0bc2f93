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

  /** Fraction of good answers turned bad that must be unlikely before a version is sound. */
  private static final double EXCLUDED_FRACTION = 0.35;

  /** Likelihood ratio below which the excluded fraction counts as unlikely. */
  private static final double MAX_EXCLUDED_RATIO = 0.1;

  private VersionComparison() {}

  /** Returns whether {@code bad} of {@code total} is worse than the old version's rate. */
  static boolean isWorse(long bad, long total, long oldBad, long oldTotal) {
    if (bad == 0) {
      return false;
    }
    double baseRate = baseRate(oldBad, oldTotal);
    double mixtureRatio = 0;
    for (int i = 0; i < ALTERNATIVE_FRACTIONS.length; i++) {
      mixtureRatio +=
          ALTERNATIVE_WEIGHTS[i] * likelihoodRatio(bad, total, baseRate, ALTERNATIVE_FRACTIONS[i]);
    }
    return mixtureRatio >= 1 / FALSE_HALT_PROBABILITY;
  }

  /**
   * Returns whether the answers suffice to rule out a version much worse than the old one. A few
   * answers that are neither bad enough to halt a version nor good enough leave it open.
   */
  static boolean isSound(long bad, long total, long oldBad, long oldTotal) {
    double baseRate = baseRate(oldBad, oldTotal);
    return likelihoodRatio(bad, total, baseRate, EXCLUDED_FRACTION) <= MAX_EXCLUDED_RATIO;
  }

  private static double baseRate(long oldBad, long oldTotal) {
    double observedRate = (oldBad + TOLERATED_BAD_RATE) / (oldTotal + 1.0);
    return Math.min(MAX_BASE_RATE, TOLERATED_BAD_RATE + BASE_RATE_MARGIN * observedRate);
  }

  private static double likelihoodRatio(long bad, long total, double baseRate, double fraction) {
    double rate = baseRate + (1 - baseRate) * fraction;
    return Math.exp(
        bad * Math.log(rate / baseRate) + (total - bad) * Math.log((1 - rate) / (1 - baseRate)));
  }
}
