package org.currantslip.core.ledger;

/**
 * Settings of the ledger.
 *
 * @param keyWindowMs how long a key is kept after its issue time
 * @param futureSkewMs how far an issue time may lie ahead of this node's clock
 * @param storeTimeoutMs timeout of a store call and of {@link Ledger#begin}
 * @param peerTimeoutMs timeout of a reply from another node
 * @param batchIntervalMs minimum time between two writes to one slot
 * @param dispatchTimeoutMs maximum time from storing the intent to dispatching the request
 * @param maxBodyBytes largest answer body that is stored for replay
 * @param maxRequests maximum number of requests that the ledger of one node tracks at once
 * @param compactionThresholdSegments number of segments after which a slot is compacted
 */
public record LedgerOptions(
    long keyWindowMs,
    long futureSkewMs,
    long storeTimeoutMs,
    long peerTimeoutMs,
    long batchIntervalMs,
    long dispatchTimeoutMs,
    int maxBodyBytes,
    int maxRequests,
    int compactionThresholdSegments) {
  private static final long DAY_MS = 24L * 60 * 60 * 1000;

  /** Returns the default settings: a key window of one day, a store timeout of two seconds. */
  public static LedgerOptions defaults() {
    return new LedgerOptions(DAY_MS, 60_000, 2_000, 1_000, 80, 5_000, 32 * 1024, 16 * 1024, 128);
  }

  /** Returns a copy with the given key window and store timeout. */
  public LedgerOptions withWindowAndStoreTimeout(long newWindowMs, long newStoreMs) {
    return new LedgerOptions(
        newWindowMs,
        futureSkewMs,
        newStoreMs,
        newStoreMs / 2,
        batchIntervalMs,
        dispatchTimeoutMs,
        maxBodyBytes,
        maxRequests,
        compactionThresholdSegments);
  }

  /** Returns a copy with the given number of segments after which a slot is compacted. */
  public LedgerOptions withCompactionThreshold(int segments) {
    return new LedgerOptions(
        keyWindowMs,
        futureSkewMs,
        storeTimeoutMs,
        peerTimeoutMs,
        batchIntervalMs,
        dispatchTimeoutMs,
        maxBodyBytes,
        maxRequests,
        segments);
  }
}
