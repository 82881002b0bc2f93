package org.currantslip.core.ledger;

/**
 * Settings of the ledger.
 *
 * @param windowMs how long a key is remembered after its time of issue
 * @param futureSkewMs how far ahead of this node's clock a time of issue may lie
 * @param storeMs deadline of a store call, and of {@link Ledger#begin}
 * @param peerMs deadline of a reply of another node
 * @param batchMs shortest time between two writes of one slot
 * @param dispatchHoldMs longest time between the stored intent and its dispatch
 * @param maxBodyBytes largest answer that is kept for replay
 * @param maxRequests most requests of this node that the ledger tracks at once
 * @param compactSegments number of segments after which a slot is compacted
 */
public record LedgerOptions(
    long windowMs,
    long futureSkewMs,
    long storeMs,
    long peerMs,
    long batchMs,
    long dispatchHoldMs,
    int maxBodyBytes,
    int maxRequests,
    int compactSegments) {
  private static final long DAY_MS = 24L * 60 * 60 * 1000;

  /** Returns the settings for a window of one day and a store deadline of two seconds. */
  public static LedgerOptions defaults() {
    return new LedgerOptions(DAY_MS, 60_000, 2_000, 1_000, 80, 5_000, 32 * 1024, 16 * 1024, 128);
  }

  /** Returns these settings with another key window and store deadline. */
  public LedgerOptions with(long newWindowMs, long newStoreMs) {
    return new LedgerOptions(
        newWindowMs,
        futureSkewMs,
        newStoreMs,
        newStoreMs / 2,
        batchMs,
        dispatchHoldMs,
        maxBodyBytes,
        maxRequests,
        compactSegments);
  }

  /** Returns these settings with another number of segments after which a slot is compacted. */
  public LedgerOptions withCompactSegments(int segments) {
    return new LedgerOptions(
        windowMs,
        futureSkewMs,
        storeMs,
        peerMs,
        batchMs,
        dispatchHoldMs,
        maxBodyBytes,
        maxRequests,
        segments);
  }
}
