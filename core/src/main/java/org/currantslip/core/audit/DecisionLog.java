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
 * Keeps decision records, first in memory and then in the store.
 *
 * <p>Records are written in batches under names fixed by incarnation and sequence, so that writing
 * one twice is harmless. Memory is bounded: during a long outage of the store the oldest batches
 * that are not yet stored are dropped and counted.
 */
public final class DecisionLog {
  private static final long FLUSH_INTERVAL_MS = 5_000;
  private static final long RETRY_MS = 1_000;
  private static final int MAX_BATCH_BYTES = 256 << 10;
  private static final int MAX_WAITING_BATCHES = 32;
  private static final int MAX_RECENT = 4_096;
  private static final int PAGE = 8;
  private static final Pattern NODE_NAME = Pattern.compile("[A-Za-z0-9_-]+");

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final Map<String, DecisionRecord> recent =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, DecisionRecord> eldest) {
          return size() > MAX_RECENT;
        }
      };
  private final Deque<Batch> waiting = new ArrayDeque<>();
  private DecisionBatch.Builder open = DecisionBatch.newBuilder();
  private int openBytes;
  private long openedMs;
  private long sequence;
  private boolean writing;
  private long nextWriteMs;
  private long dropped;
  private CompletableFuture<Void> flushed = new CompletableFuture<>();

  private DecisionLog(NodeId self, ObjectStore store, Clock clock) {
    this.self = self;
    this.store = store;
    this.clock = clock;
  }

  private record Batch(String name, DecisionBatch records) {}

  /** Returns an empty log of this process. */
  public static DecisionLog create(NodeId self, ObjectStore store, Clock clock) {
    return new DecisionLog(self, store, clock);
  }

  /** Takes a record. */
  public void add(DecisionRecord rec) {
    recent.put(rec.getRequestId(), rec);
    if (open.getRecordCount() == 0) {
      openedMs = clock.nowMs();
    }
    open.addRecord(rec);
    openBytes += rec.getSerializedSize();
    if (openBytes >= MAX_BATCH_BYTES) {
      close();
    }
  }

  /** Finds the record of a request of any node; empty when there is none. */
  public CompletableFuture<Optional<DecisionRecord>> find(String requestId) {
    DecisionRecord local = recent.get(requestId);
    if (local != null) {
      return CompletableFuture.completedFuture(Optional.of(local));
    }
    return RequestIds.nodeOf(requestId)
        .filter(id -> NODE_NAME.matcher(id.getName()).matches())
        .map(id -> scan(prefix(id.getName(), id.getIncarnation()), "", requestId))
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
  }

  /** Returns how many records were dropped because the store was out for too long. */
  public long dropped() {
    return dropped;
  }

  /** Writes what is due. */
  public void tick() {
    if (open.getRecordCount() > 0 && clock.nowMs() >= openedMs + FLUSH_INTERVAL_MS) {
      close();
    }
    Batch first = waiting.peekFirst();
    if (first != null && !writing && clock.nowMs() >= nextWriteMs) {
      write(first);
    }
  }

  /** Hands the open batch over for writing; completes when everything is stored. */
  public CompletableFuture<Void> flush() {
    if (open.getRecordCount() > 0) {
      close();
    }
    tick();
    return waiting.isEmpty() ? CompletableFuture.completedFuture(null) : flushed;
  }

  private void close() {
    String name =
        prefix(self.getName(), self.getIncarnation())
            + String.format(Locale.ROOT, "%010d", sequence++);
    waiting.addLast(new Batch(name, open.build()));
    open = DecisionBatch.newBuilder();
    openBytes = 0;
    if (waiting.size() > MAX_WAITING_BATCHES) {
      dropped += waiting.removeFirst().records().getRecordCount();
    }
  }

  private void write(Batch batch) {
    writing = true;
    store
        .create(batch.name(), batch.records().toByteString())
        .whenComplete(
            (version, failure) -> {
              writing = false;
              if (failure == null || isConflict(failure)) {
                stored(batch);
              } else {
                nextWriteMs = clock.nowMs() + RETRY_MS;
              }
            });
  }

  private void stored(Batch batch) {
    waiting.remove(batch);
    if (waiting.isEmpty()) {
      CompletableFuture<Void> done = flushed;
      flushed = new CompletableFuture<>();
      done.complete(null);
    }
  }

  private CompletableFuture<Optional<DecisionRecord>> scan(
      String prefix, String after, String requestId) {
    return store
        .list(prefix, after, PAGE)
        .thenCompose(
            page -> {
              Optional<DecisionRecord> found =
                  page.stream()
                      .flatMap(o -> records(o).stream())
                      .filter(r -> r.getRequestId().equals(requestId))
                      .findFirst();
              return found.isPresent() || page.size() < PAGE
                  ? CompletableFuture.completedFuture(found)
                  : scan(prefix, page.get(page.size() - 1).name(), requestId);
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
