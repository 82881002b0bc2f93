package org.currantslip.core.request;

/**
 * Bounds of the request engine.
 *
 * @param firstByteMs longest wait for the first byte of an answer
 * @param betweenDataMs longest silence within an answer
 * @param settleMs longest wait for usage record and outcome to be stored before the answer ends
 * @param lateAnswerMs how long the answer of an at-most-once call is still awaited after its caller
 *     was told that the outcome is unknown
 * @param maxAttempts most calls for one tier, retries among them
 * @param maxHeldBytes largest answer held back before its caller gets it
 */
public record EngineOptions(
    long firstByteMs,
    long betweenDataMs,
    long settleMs,
    long lateAnswerMs,
    int maxAttempts,
    long maxHeldBytes) {
  private static final int MAX_ATTEMPTS = 3;
  private static final long MAX_HELD_BYTES = 4L << 20;
  private static final long SETTLE_MS = 1_000;
  private static final long LATE_ANSWER_MS = 30_000;

  /** Returns options of one call with these silence bounds, which holds this much at most. */
  static EngineOptions holding(long firstByteMs, long betweenDataMs, long maxHeldBytes) {
    return new EngineOptions(
        firstByteMs, betweenDataMs, SETTLE_MS, LATE_ANSWER_MS, MAX_ATTEMPTS, maxHeldBytes);
  }

  /** Returns options with these silence bounds. */
  public static EngineOptions of(long firstByteMs, long betweenDataMs) {
    return new EngineOptions(
        firstByteMs, betweenDataMs, SETTLE_MS, LATE_ANSWER_MS, MAX_ATTEMPTS, MAX_HELD_BYTES);
  }
}
