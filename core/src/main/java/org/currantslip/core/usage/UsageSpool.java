package org.currantslip.core.usage;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.UsageCopy;
import org.currantslip.schema.UsageCopyAck;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageRelease;

/** Buffers usage records until they are stored in the platform's object store. */
public interface UsageSpool {
  /** Returns whether the spool has capacity for the record of a new request. */
  boolean hasCapacity();

  /** Adds a record; the future completes once the loss of any single VM cannot lose the record. */
  CompletableFuture<Void> add(UsageRecord rec);

  /** Stores a copy of another node's records in memory. */
  UsageCopyAck onCopy(UsageCopy copy);

  /** Discards copies whose owner has stored the records. */
  void onRelease(UsageRelease release);

  /** Writes due batches and takes over the records of nodes that are gone. */
  void tick();

  /** Writes all pending records; completes when none are left. */
  CompletableFuture<Void> flush();
}
