package org.currantslip.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.usage.UsageSpool;
import org.currantslip.schema.UsageCopy;
import org.currantslip.schema.UsageCopyAck;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageRelease;

/** A spool whose safety the test decides. */
final class FakeUsage implements UsageSpool {
  final List<UsageRecord> records = new ArrayList<>();
  CompletableFuture<Void> safe = CompletableFuture.completedFuture(null);
  boolean room = true;

  @Override
  public boolean hasRoom() {
    return room;
  }

  @Override
  public CompletableFuture<Void> add(UsageRecord rec) {
    records.add(rec);
    return safe;
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
