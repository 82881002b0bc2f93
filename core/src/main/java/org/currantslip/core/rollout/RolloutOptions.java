package org.currantslip.core.rollout;

/**
 * Options for evaluating model versions.
 *
 * @param falseStopProbability bound on the probability that a good version is stopped during one
 *     stage
 * @param baseBadRate expected rate of bad ratings for a good version
 * @param baseErrorRate expected error rate of a good version
 * @param serviceStageRequests number of requests treated as one stage for a version in full service
 * @param unratedCap maximum unrated requests of a version in rollout, over all nodes
 * @param unratedPerRating additional unrated requests allowed per rating of such a version
 * @param firstStageAtOnce whether the first stage takes effect before the controller announces it
 */
public record RolloutOptions(
    double falseStopProbability,
    double baseBadRate,
    double baseErrorRate,
    int serviceStageRequests,
    int unratedCap,
    int unratedPerRating,
    boolean firstStageAtOnce) {
  /** Returns the production defaults. */
  public static RolloutOptions defaults() {
    return new RolloutOptions(0.0008, 0.03, 0.01, 10_000, 120, 4, true);
  }
}
