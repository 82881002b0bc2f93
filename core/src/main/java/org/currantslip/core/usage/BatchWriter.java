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
import org.currantslip.core.store.SerialStoreCaller;
import org.currantslip.core.store.StoreCircuitBreaker;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.UsageBatch;
import org.currantslip.schema.UsageRecord;
import org.jspecify.annotations.Nullable;

/**
 * Writes batches to the store, one at a time, and retries until every record is stored.
 *
 * <p>The object name is derived from owner and sequence. The object may already exist, written by
 * another holder of the same batch or by an earlier attempt whose answer was lost. In that case,
 * only the records missing from it are written, under the name of the next level.
 */
final class BatchWriter {
  private static final long RETRY_MS = 1_000;

  private static final class PendingBatch {
    private final NodeId owner;
    private final long sequence;
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private List<UsageRecord> records;
    private int level;

    private PendingBatch(NodeId owner, long sequence, List<UsageRecord> records) {
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
  private final SerialStoreCaller storeCaller;
  private final long retryMs;
  private final Deque<PendingBatch> pending = new ArrayDeque<>();
  private @Nullable PendingBatch current;
  private boolean nameTaken;
  private long nextAttemptMs;

  private BatchWriter(NodeId self, ObjectStore store, Clock clock, long storeMs) {
    this.store = store;
    this.clock = clock;
    storeCaller = SerialStoreCaller.create(clock, StoreCircuitBreaker.create(clock), storeMs);
    retryMs = RETRY_MS + Math.floorMod(self.getName().hashCode(), RETRY_MS);
  }

  static BatchWriter create(NodeId self, ObjectStore store, Clock clock, long storeMs) {
    return new BatchWriter(self, store, clock, storeMs);
  }

  /** Queues a batch; the future completes once all its records are stored. */
  CompletableFuture<Void> write(NodeId owner, long sequence, List<UsageRecord> records) {
    PendingBatch batch = new PendingBatch(owner, sequence, records);
    pending.add(batch);
    return batch.done;
  }

  /** Returns whether no batch is queued or being written. */
  boolean isIdle() {
    return current == null && pending.isEmpty();
  }

  void tick() {
    storeCaller.tick();
    if (storeCaller.isBusy() || clock.nowMs() < nextAttemptMs) {
      return;
    }
    if (current == null) {
      current = pending.poll();
      nameTaken = false;
    }
    if (current != null) {
      createOrCompare(current);
    }
  }

  private void createOrCompare(PendingBatch batch) {
    if (nameTaken) {
      storeCaller.run(
          () -> store.get(batch.name()),
          found -> found.ifPresentOrElse(o -> compare(batch, o), () -> nameTaken = false),
          kind -> retryLater());
    } else {
      storeCaller.run(
          () -> store.create(batch.name(), toBatch(batch).toByteString()),
          version -> finish(batch),
          kind -> {
            if (kind == Kind.CONFLICT) {
              nameTaken = true;
            } else {
              retryLater();
            }
          });
    }
  }

  private void compare(PendingBatch batch, StoredObject object) {
    Set<String> stored =
        parse(object).getRecordList().stream()
            .map(UsageRecord::getRequestId)
            .collect(Collectors.toSet());
    batch.records = batch.records.stream().filter(r -> !stored.contains(r.getRequestId())).toList();
    if (batch.records.isEmpty()) {
      finish(batch);
    } else {
      batch.level++;
      nameTaken = false;
    }
  }

  private void finish(PendingBatch batch) {
    current = null;
    batch.done.complete(null);
  }

  private void retryLater() {
    nextAttemptMs = clock.nowMs() + retryMs;
  }

  private static UsageBatch toBatch(PendingBatch batch) {
    return UsageBatch.newBuilder()
        .setNode(batch.owner)
        .setSequence(batch.sequence)
        .addAllRecord(batch.records)
        .build();
  }

  static UsageBatch parse(StoredObject object) {
    try {
      return UsageBatch.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("malformed usage batch " + object.name(), e);
    }
  }
}
