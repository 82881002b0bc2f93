package org.currantslip.core.rollout;

/**
 * How versions are judged.
 *
 * @param falseStop accepted probability that a good version is stopped during one stage
 * @param baseBadRate share of bad ratings of a good version
 * @param baseErrorRate share of errors of a good version
 * @param serviceStageRequests requests that count as one stage for a version in full service
 * @param unratedCap requests of an unproved version that may lack a rating, over all nodes
 * @param unratedPerRating further unrated requests that each rating of an unproved version allows
 * @param firstStageAtOnce whether the first stage is in force before a controller announces it
 */
public record RolloutOptions(
    double falseStop,
    double baseBadRate,
    double baseErrorRate,
    int serviceStageRequests,
    int unratedCap,
    int unratedPerRating,
    boolean firstStageAtOnce) {
  /** Returns the options used in production. */
  public static RolloutOptions defaults() {
    return new RolloutOptions(0.0008, 0.03, 0.01, 10_000, 120, 4, true);
  }
}
