package org.currantslip.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.usage.UsageSpool;
import org.currantslip.schema.UsageCopy;
import org.currantslip.schema.UsageCopyAck;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageRelease;

/** A usage spool in which the test controls when records become durable. */
final class FakeUsageSpool implements UsageSpool {
  final List<UsageRecord> records = new ArrayList<>();
  CompletableFuture<Void> durable = CompletableFuture.completedFuture(null);
  boolean hasCapacity = true;

  @Override
  public boolean hasCapacity() {
    return hasCapacity;
  }

  @Override
  public CompletableFuture<Void> add(UsageRecord rec) {
    records.add(rec);
    return durable;
  }

  @Override
  public UsageCopyAck onCopy(UsageCopy copy) {
    return UsageCopyAck.getDefaultInstance();
  }

  @Override
  public void onRelease(UsageRelease release) {}

  @Override
  public void tick() {}

  @Override
  public CompletableFuture<Void> flush() {
    return CompletableFuture.completedFuture(null);
  }
}
