package org.currantslip.core.usage;

/**
 * Settings of the usage spool.
 *
 * @param maxBatchAgeMs age at which a batch is written
 * @param maxDirectBatchAgeMs age at which a batch is written if too few peers can hold copies
 * @param minWriteIntervalMs minimum time between two batch writes
 * @param maxBatchRecords maximum number of records in one stored batch
 * @param maxRecords maximum number of records of this node that are not stored yet
 * @param maxHeldRecords maximum number of records held for other nodes
 * @param peerTimeoutMs timeout of a peer's acknowledgement
 * @param storeTimeoutMs timeout of a store call
 */
public record UsageOptions(
    long maxBatchAgeMs,
    long maxDirectBatchAgeMs,
    long minWriteIntervalMs,
    int maxBatchRecords,
    int maxRecords,
    int maxHeldRecords,
    long peerTimeoutMs,
    long storeTimeoutMs) {
  /** Returns the settings for the given spool capacity and store timeout. */
  public static UsageOptions of(int maxRecords, long storeTimeoutMs) {
    return new UsageOptions(
        15_000, 100, 5_000, 2_048, maxRecords, 4 * maxRecords, 300, storeTimeoutMs);
  }
}
