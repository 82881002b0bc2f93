package org.currantslip.core.rollout;

import org.currantslip.schema.OutcomeSignal;

/**
 * Observation on one request, used as evidence about the version that served it.
 *
 * @param signal what was observed
 * @param model model size that answered, or empty if the request names none
 * @param isFailure whether the endpoint returned a failure
 * @param responseTime time per event of a stream or total time of any other answer, in
 *     milliseconds; for a first event, its time relative to the expected one; negative if unknown
 */
public record OutcomeSample(
    OutcomeSignal signal, String model, boolean isFailure, double responseTime) {
  private static final OutcomeSample FAILED = new OutcomeSample(OutcomeSignal.ANSWER, "", true, -1);

  /** Returns a sample for a failed request. */
  public static OutcomeSample failed() {
    return FAILED;
  }

  /** Returns a sample for a request that was answered. */
  public static OutcomeSample answered(double responseTimeMs) {
    return answered("", responseTimeMs);
  }

  /** Returns a sample for a request that was answered by a model size. */
  public static OutcomeSample answered(String model, double responseTimeMs) {
    return new OutcomeSample(OutcomeSignal.ANSWER, model, false, responseTimeMs);
  }

  /** Returns a sample for the time per event of a stream that has not ended. */
  public static OutcomeSample pace(String model, double eventIntervalMs) {
    return new OutcomeSample(OutcomeSignal.PACE, model, false, eventIntervalMs);
  }

  /** Returns a sample for the first event of a stream, which may still be awaited. */
  public static OutcomeSample firstEvent(String model, double relativeTime) {
    return new OutcomeSample(OutcomeSignal.FIRST_EVENT, model, false, relativeTime);
  }
}
