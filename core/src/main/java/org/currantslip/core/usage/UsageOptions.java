package org.currantslip.core.usage;

/**
 * Settings of the usage spool.
 *
 * @param batchMs how long records are gathered before they are written
 * @param directBatchMs how long they are gathered when too few peers can keep copies
 * @param writeGapMs shortest time between two writes of gathered records
 * @param maxBatchRecords most records in one stored batch
 * @param maxRecords most records of this node that may wait for the store
 * @param maxHeldRecords most copies kept for other nodes
 * @param peerMs deadline of a peer's acknowledgement
 * @param storeMs deadline of a store call
 */
public record UsageOptions(
    long batchMs,
    long directBatchMs,
    long writeGapMs,
    int maxBatchRecords,
    int maxRecords,
    int maxHeldRecords,
    long peerMs,
    long storeMs) {
  /** Returns the settings for a spool of this many records and this store deadline. */
  public static UsageOptions of(int maxRecords, long storeMs) {
    return new UsageOptions(15_000, 100, 5_000, 2_048, maxRecords, 4 * maxRecords, 300, storeMs);
  }
}
