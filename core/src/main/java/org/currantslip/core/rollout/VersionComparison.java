package org.currantslip.core.rollout;

/**
 * Tells whether a new version does worse than the one it replaces, by a mixture of likelihood
 * ratios over several rates of bad answers.
 *
 * <p>The base rate is what the old version shows at the same time, so that trouble which meets both
 * versions stops neither.
 */
final class VersionComparison {
  /** Bad answers that even a good version may give; below this no difference counts. */
  private static final double BASE_RATE = 0.02;

  /** The old version's observed rate may be this much too low by chance. */
  private static final double BASE_FACTOR = 1.5;

  /** Parts of the good answers that turn bad in the alternatives, and their weights. */
  private static final double[] RISES = {0.12, 0.35, 0.7};

  private static final double[] WEIGHTS = {0.3, 0.4, 0.3};

  /** Accepted probability of stopping a good version within one comparison. */
  private static final double FALSE_STOP = 1e-3;

  private static final double MAX_BASE_RATE = 0.9;

  private VersionComparison() {}

  /** Returns whether {@code bad} of {@code all} is worse than the old version's share. */
  static boolean isWorse(long bad, long all, long oldBad, long oldAll) {
    if (bad == 0) {
      return false;
    }
    double seen = (oldBad + BASE_RATE) / (oldAll + 1.0);
    double base = Math.min(MAX_BASE_RATE, BASE_RATE + BASE_FACTOR * seen);
    double odds = 0;
    for (int i = 0; i < RISES.length; i++) {
      double rate = base + (1 - base) * RISES[i];
      double log = bad * Math.log(rate / base) + (all - bad) * Math.log((1 - rate) / (1 - base));
      odds += WEIGHTS[i] * Math.exp(log);
    }
    return odds >= 1 / FALSE_STOP;
  }
}
