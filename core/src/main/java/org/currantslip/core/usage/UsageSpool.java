package org.currantslip.core.usage;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.UsageCopy;
import org.currantslip.schema.UsageCopyAck;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageRelease;

/** Holds usage records until the platform's store has them. */
public interface UsageSpool {
  /** Returns whether a new request may be admitted. */
  boolean hasRoom();

  /** Takes a record; the future completes when the loss of any one VM cannot lose it. */
  CompletableFuture<Void> add(UsageRecord rec);

  /** Keeps a copy of another node's records. */
  UsageCopyAck onCopy(UsageCopy copy);

  /** Drops copies that their owner has stored. */
  void onRelease(UsageRelease release);

  /** Sends due batches and adopts the records of nodes that are gone. */
  void tick();

  /** Writes everything out; completes when nothing is left to write. */
  CompletableFuture<Void> flush();
}
