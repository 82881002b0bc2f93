package org.currantslip.core.rollout;

import java.util.Arrays;

/**
 * Sequential change detector for an increase of the bad outcome rate above a base rate.
 *
 * <p>The test statistic is a mixture of likelihood ratios over several alternative rates and over
 * the request at which the rate increased. The prior mass of one stage sums to one, so by Ville's
 * inequality the false alarm probability within a stage is at most the configured value.
 */
final class BadRateDetector {
  private static final double[] MIXTURE_WEIGHTS = {0.2, 0.3, 0.5};

  private final double[] badLogRatios;
  private final double[] goodLogRatios;
  private final double[] likelihoodRatios;
  private final double priorMassPerRequest;
  private final double threshold;
  private long goodTotal;
  private long badTotal;
  private boolean alarmRaised;

  private BadRateDetector(
      double baseRate,
      double[] badRates,
      double falseAlarmProbability,
      int stageRequests,
      double priorMassAtStart) {
    badLogRatios = Arrays.stream(badRates).map(rate -> Math.log(rate / baseRate)).toArray();
    goodLogRatios =
        Arrays.stream(badRates).map(rate -> Math.log((1 - rate) / (1 - baseRate))).toArray();
    likelihoodRatios =
        Arrays.stream(MIXTURE_WEIGHTS).map(weight -> weight * priorMassAtStart).toArray();
    priorMassPerRequest = (1 - priorMassAtStart) / stageRequests;
    threshold = 1 / falseAlarmProbability;
  }

  /**
   * Creates a detector for three alternative rates above {@code baseRate}.
   *
   * @param badRates the alternative rates in ascending order
   * @param falseAlarmProbability bound on the probability of an alarm within a stage at the base
   *     rate
   * @param stageRequests number of requests in a stage
   * @param priorMassAtStart prior probability that the rate is increased from the first request on
   */
  static BadRateDetector create(
      double baseRate,
      double[] badRates,
      double falseAlarmProbability,
      int stageRequests,
      double priorMassAtStart) {
    return new BadRateDetector(
        baseRate, badRates, falseAlarmProbability, stageRequests, priorMassAtStart);
  }

  /** Adds a batch of outcomes in unknown order; returns whether an increase was detected. */
  boolean add(long good, long bad) {
    goodTotal += good;
    badTotal += bad;
    for (int i = 0; i < likelihoodRatios.length; i++) {
      double mass =
          likelihoodRatios[i] + MIXTURE_WEIGHTS[i] * priorMassPerRequest * (double) (good + bad);
      likelihoodRatios[i] =
          mass * Math.exp((double) bad * badLogRatios[i] + (double) good * goodLogRatios[i]);
    }
    alarmRaised |= Arrays.stream(likelihoodRatios).sum() >= threshold;
    return alarmRaised;
  }

  /** Returns whether an increase was detected; stays true once set. */
  boolean alarmRaised() {
    return alarmRaised;
  }

  /** Returns the current likelihood ratio of the alternatives to the base rate. */
  double likelihoodRatio() {
    return Arrays.stream(likelihoodRatios).sum();
  }

  long goodCount() {
    return goodTotal;
  }

  long badCount() {
    return badTotal;
  }
}
