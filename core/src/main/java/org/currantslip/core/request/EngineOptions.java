package org.currantslip.core.request;

/**
 * Timeouts and limits of the request engine.
 *
 * @param firstByteTimeoutMs timeout for the first byte of a response
 * @param idleTimeoutMs idle timeout within a response
 * @param storeTimeoutMs timeout for storing the usage record and the ledger outcome before the
 *     response is finished
 * @param lateResponseTimeoutMs how long to wait for the response to an at-most-once call after its
 *     caller was told that the outcome is unknown
 * @param maxAttempts maximum number of calls per tier, including retries
 * @param maxBufferedBytes maximum size of a response buffered before it is sent to the caller
 */
public record EngineOptions(
    long firstByteTimeoutMs,
    long idleTimeoutMs,
    long storeTimeoutMs,
    long lateResponseTimeoutMs,
    int maxAttempts,
    long maxBufferedBytes) {
  private static final int MAX_ATTEMPTS = 3;
  private static final long MAX_BUFFERED_BYTES = 4L << 20;
  private static final long STORE_TIMEOUT_MS = 1_000;
  private static final long LATE_RESPONSE_MS = 30_000;

  /** Returns options with the given timeouts and response buffer limit. */
  static EngineOptions withBufferLimit(
      long firstByteTimeoutMs, long idleTimeoutMs, long maxBufferedBytes) {
    return new EngineOptions(
        firstByteTimeoutMs,
        idleTimeoutMs,
        STORE_TIMEOUT_MS,
        LATE_RESPONSE_MS,
        MAX_ATTEMPTS,
        maxBufferedBytes);
  }

  /** Returns options with the given timeouts and defaults for all other limits. */
  public static EngineOptions of(long firstByteTimeoutMs, long idleTimeoutMs) {
    return new EngineOptions(
        firstByteTimeoutMs,
        idleTimeoutMs,
        STORE_TIMEOUT_MS,
        LATE_RESPONSE_MS,
        MAX_ATTEMPTS,
        MAX_BUFFERED_BYTES);
  }
}
