package org.currantslip.core.rollout;

/**
 * Outcome of one request, used as evidence about the version that served it.
 *
 * @param isFailure whether the endpoint returned a failure
 * @param responseTimeMs time per event for a stream, total time otherwise; negative if not
 *     applicable
 */
public record OutcomeSample(boolean isFailure, double responseTimeMs) {
  private static final OutcomeSample FAILED = new OutcomeSample(true, -1);

  /** Returns a sample for a failed request. */
  public static OutcomeSample failed() {
    return FAILED;
  }

  /** Returns a sample for a request that was answered. */
  public static OutcomeSample answered(double responseTimeMs) {
    return new OutcomeSample(false, responseTimeMs);
  }
}
