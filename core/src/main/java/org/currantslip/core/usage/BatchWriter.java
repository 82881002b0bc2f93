package org.currantslip.core.usage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.store.StoreBreaker;
import org.currantslip.core.store.StoreLane;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.UsageBatch;
import org.currantslip.schema.UsageRecord;
import org.jspecify.annotations.Nullable;

/**
 * Writes batches under names fixed by owner and sequence, one at a time, until each record is seen
 * in the store. When the name is taken, by another holder of the same batch or by an earlier try
 * whose answer was lost, the records that the stored batch lacks go under the next level's name.
 */
final class BatchWriter {
  private static final long RETRY_MS = 1_000;

  private static final class Job {
    private final NodeId owner;
    private final long sequence;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private List<UsageRecord> records;
    private int level;

    private Job(NodeId owner, long sequence, List<UsageRecord> records) {
      this.owner = owner;
      this.sequence = sequence;
      this.records = records;
    }

    private String name() {
      return UsageNames.batch(owner, sequence, level);
    }
  }

  private final ObjectStore store;
  private final Clock clock;
  private final StoreLane lane;
  private final long retryMs;
  private final Deque<Job> jobs = new ArrayDeque<>();
  private @Nullable Job current;
  private boolean nameTaken;
  private long notBeforeMs;

  private BatchWriter(NodeId self, ObjectStore store, Clock clock, long storeMs) {
    this.store = store;
    this.clock = clock;
    lane = StoreLane.create(clock, StoreBreaker.create(clock), storeMs);
    retryMs = RETRY_MS + Math.floorMod(self.getName().hashCode(), RETRY_MS);
  }

  static BatchWriter create(NodeId self, ObjectStore store, Clock clock, long storeMs) {
    return new BatchWriter(self, store, clock, storeMs);
  }

  /** Queues a batch; the future completes once every record of it is in the store. */
  CompletableFuture<Void> write(NodeId owner, long sequence, List<UsageRecord> records) {
    Job job = new Job(owner, sequence, records);
    jobs.add(job);
    return job.done;
  }

  /** Returns whether nothing is being written or waiting. */
  boolean isIdle() {
    return current == null && jobs.isEmpty();
  }

  void tick() {
    lane.tick();
    if (lane.isBusy() || clock.nowMs() < notBeforeMs) {
      return;
    }
    if (current == null) {
      current = jobs.poll();
      nameTaken = false;
    }
    if (current != null) {
      step(current);
    }
  }

  private void step(Job job) {
    if (nameTaken) {
      lane.run(
          () -> store.get(job.name()),
          found -> found.ifPresentOrElse(o -> compare(job, o), () -> nameTaken = false),
          kind -> retryLater());
    } else {
      lane.run(
          () -> store.create(job.name(), toBatch(job).toByteString()),
          version -> finish(job),
          kind -> {
            if (kind == Kind.CONFLICT) {
              nameTaken = true;
            } else {
              retryLater();
            }
          });
    }
  }

  private void compare(Job job, StoredObject object) {
    Set<String> stored =
        parse(object).getRecordList().stream()
            .map(UsageRecord::getRequestId)
            .collect(Collectors.toSet());
    job.records = job.records.stream().filter(r -> !stored.contains(r.getRequestId())).toList();
    if (job.records.isEmpty()) {
      finish(job);
    } else {
      job.level++;
      nameTaken = false;
    }
  }

  private void finish(Job job) {
    current = null;
    job.done.complete(null);
  }

  private void retryLater() {
    notBeforeMs = clock.nowMs() + retryMs;
  }

  private static UsageBatch toBatch(Job job) {
    return UsageBatch.newBuilder()
        .setNode(job.owner)
        .setSequence(job.sequence)
        .addAllRecord(job.records)
        .build();
  }

  static UsageBatch parse(StoredObject object) {
    try {
      return UsageBatch.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("malformed object " + object.name(), e);
    }
  }
}
