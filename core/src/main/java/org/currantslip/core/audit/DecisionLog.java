package org.currantslip.core.audit;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.request.RequestIds;
import org.currantslip.schema.DecisionBatch;
import org.currantslip.schema.DecisionRecord;
import org.currantslip.schema.NodeId;

/**
 * Buffers decision records in memory and writes them to the store in batches.
 *
 * <p>The name of a batch is derived from the node's incarnation and a sequence number, so writing a
 * batch twice is idempotent. Memory is bounded: during a long store outage, the oldest unwritten
 * batches are dropped and their records counted.
 */
public final class DecisionLog {
  private static final long FLUSH_INTERVAL_MS = 5_000;
  private static final long RETRY_DELAY_MS = 1_000;
  private static final int MAX_BATCH_BYTES = 256 << 10;
  private static final int MAX_PENDING_BATCHES = 32;
  private static final int MAX_RECENT_RECORDS = 4_096;
  private static final int PAGE_SIZE = 8;
  private static final Pattern NODE_NAME = Pattern.compile("[A-Za-z0-9_-]+");

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final Map<String, DecisionRecord> recent =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, DecisionRecord> eldest) {
          return size() > MAX_RECENT_RECORDS;
        }
      };
  private final Deque<Batch> pendingBatches = new ArrayDeque<>();
  private DecisionBatch.Builder openBatch = DecisionBatch.newBuilder();
  private int openBatchBytes;
  private long openBatchSinceMs;
  private long sequence;
  private boolean writeInProgress;
  private long nextWriteMs;
  private long droppedRecords;
  private CompletableFuture<Void> flushFuture = new CompletableFuture<>();

  private DecisionLog(NodeId self, ObjectStore store, Clock clock) {
    this.self = self;
    this.store = store;
    this.clock = clock;
  }

  private record Batch(String name, DecisionBatch records) {}

  /** Creates an empty log for this process. */
  public static DecisionLog create(NodeId self, ObjectStore store, Clock clock) {
    return new DecisionLog(self, store, clock);
  }

  /** Adds a record to the open batch. */
  public void add(DecisionRecord decision) {
    recent.put(decision.getRequestId(), decision);
    if (openBatch.getRecordCount() == 0) {
      openBatchSinceMs = clock.nowMs();
    }
    openBatch.addRecord(decision);
    openBatchBytes += decision.getSerializedSize();
    if (openBatchBytes >= MAX_BATCH_BYTES) {
      closeOpenBatch();
    }
  }

  /** Finds the record of a request handled by any node; empty if there is none. */
  public CompletableFuture<Optional<DecisionRecord>> find(String requestId) {
    DecisionRecord local = recent.get(requestId);
    if (local != null) {
      return CompletableFuture.completedFuture(Optional.of(local));
    }
    return RequestIds.issuingNode(requestId)
        .filter(id -> NODE_NAME.matcher(id.getName()).matches())
        .map(id -> findInBatches(prefix(id.getName(), id.getIncarnation()), "", requestId))
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
  }

  /** Returns the number of records dropped because the store was unavailable for too long. */
  public long droppedRecords() {
    return droppedRecords;
  }

  /** Closes the open batch if it is due and writes the oldest pending batch. */
  public void tick() {
    if (openBatch.getRecordCount() > 0 && clock.nowMs() >= openBatchSinceMs + FLUSH_INTERVAL_MS) {
      closeOpenBatch();
    }
    Batch first = pendingBatches.peekFirst();
    if (first != null && !writeInProgress && clock.nowMs() >= nextWriteMs) {
      write(first);
    }
  }

  /** Closes the open batch for writing; completes once all batches are stored. */
  public CompletableFuture<Void> flush() {
    if (openBatch.getRecordCount() > 0) {
      closeOpenBatch();
    }
    tick();
    return pendingBatches.isEmpty() ? CompletableFuture.completedFuture(null) : flushFuture;
  }

  private void closeOpenBatch() {
    String name =
        prefix(self.getName(), self.getIncarnation())
            + String.format(Locale.ROOT, "%010d", sequence++);
    pendingBatches.addLast(new Batch(name, openBatch.build()));
    openBatch = DecisionBatch.newBuilder();
    openBatchBytes = 0;
    if (pendingBatches.size() > MAX_PENDING_BATCHES) {
      droppedRecords += pendingBatches.removeFirst().records().getRecordCount();
    }
  }

  private void write(Batch batch) {
    writeInProgress = true;
    store
        .create(batch.name(), batch.records().toByteString())
        .whenComplete(
            (version, failure) -> {
              writeInProgress = false;
              if (failure == null || isConflict(failure)) {
                onStored(batch);
              } else {
                nextWriteMs = clock.nowMs() + RETRY_DELAY_MS;
              }
            });
  }

  private void onStored(Batch batch) {
    pendingBatches.remove(batch);
    if (pendingBatches.isEmpty()) {
      CompletableFuture<Void> done = flushFuture;
      flushFuture = new CompletableFuture<>();
      done.complete(null);
    }
  }

  private CompletableFuture<Optional<DecisionRecord>> findInBatches(
      String prefix, String after, String requestId) {
    return store
        .list(prefix, after, PAGE_SIZE)
        .thenCompose(
            page -> {
              Optional<DecisionRecord> found =
                  page.stream()
                      .flatMap(o -> records(o).stream())
                      .filter(r -> r.getRequestId().equals(requestId))
                      .findFirst();
              return found.isPresent() || page.size() < PAGE_SIZE
                  ? CompletableFuture.completedFuture(found)
                  : findInBatches(prefix, page.get(page.size() - 1).name(), requestId);
            });
  }

  private static List<DecisionRecord> records(StoredObject object) {
    try {
      return DecisionBatch.parseFrom(object.value()).getRecordList();
    } catch (InvalidProtocolBufferException e) {
      return ImmutableList.of();
    }
  }

  private static boolean isConflict(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
  }

  private static String prefix(String node, long incarnation) {
    return String.format(Locale.ROOT, "decision/%s/%020d/", node, incarnation);
  }
}
