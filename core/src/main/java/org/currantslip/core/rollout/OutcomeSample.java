package org.currantslip.core.rollout;

/**
 * How a request ended, as evidence on the version that served it.
 *
 * @param isFailure whether the endpoint answered with a failure
 * @param paceMs time that the work took: per event of a stream, in all otherwise; negative when it
 *     says nothing
 */
public record OutcomeSample(boolean isFailure, double paceMs) {
  private static final OutcomeSample FAILED = new OutcomeSample(true, -1);

  /** Returns the sample of a failed request. */
  public static OutcomeSample failed() {
    return FAILED;
  }

  /** Returns the sample of an answered request. */
  public static OutcomeSample answered(double paceMs) {
    return new OutcomeSample(false, paceMs);
  }
}
