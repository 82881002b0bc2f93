package org.currantslip.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.UsageRecord;

/** A batch of usage records of this node, with its copies on peers and its pending futures. */
final class LocalBatch {
  private static final int MAX_BYTES = 512 * 1024;

  /** The copy on one peer, which has acknowledged the first {@code acked} records. */
  static final class Copy {
    private final NodeId peer;
    private int acked;
    private boolean inFlight;

    private Copy(NodeId peer) {
      this.peer = peer;
    }

    NodeId peer() {
      return peer;
    }

    int acked() {
      return acked;
    }

    boolean isInFlight() {
      return inFlight;
    }

    void markSent() {
      inFlight = true;
    }

    void markAcked(int count) {
      inFlight = false;
      acked = Math.max(acked, count);
    }
  }

  private final long sequence;
  private final long openedMs;
  private final List<UsageRecord> records = new ArrayList<>();
  private final List<CompletableFuture<Void>> futures = new ArrayList<>();
  private final List<Copy> copies = new ArrayList<>();
  private int bytes;
  private int durableCount;
  private boolean writing;

  private LocalBatch(long sequence, long openedMs) {
    this.sequence = sequence;
    this.openedMs = openedMs;
  }

  static LocalBatch open(long sequence, long nowMs) {
    return new LocalBatch(sequence, nowMs);
  }

  long sequence() {
    return sequence;
  }

  long openedMs() {
    return openedMs;
  }

  int size() {
    return records.size();
  }

  boolean isFull(int maxRecords) {
    return records.size() >= maxRecords || bytes >= MAX_BYTES;
  }

  CompletableFuture<Void> add(UsageRecord rec) {
    CompletableFuture<Void> durable = new CompletableFuture<>();
    records.add(rec);
    futures.add(durable);
    bytes += rec.getSerializedSize();
    return durable;
  }

  List<UsageRecord> records() {
    return List.copyOf(records);
  }

  /** Returns at most {@code limit} records, starting at index {@code first}. */
  List<UsageRecord> records(int first, int limit) {
    return List.copyOf(records.subList(first, Math.min(records.size(), first + limit)));
  }

  List<Copy> copies() {
    return copies;
  }

  Copy addCopy(NodeId peer) {
    Copy copy = new Copy(peer);
    copies.add(copy);
    return copy;
  }

  /** Returns whether any record is not durable yet. */
  boolean hasNonDurable() {
    return durableCount < records.size();
  }

  /** Completes the futures of the records that enough peers have acknowledged. */
  void completeReplicated(int neededCopies) {
    if (copies.size() >= neededCopies) {
      completeThrough(copies.stream().mapToInt(Copy::acked).min().orElse(0));
    }
  }

  /** Completes the futures of all records. */
  void completeAll() {
    completeThrough(records.size());
  }

  private void completeThrough(int count) {
    int from = durableCount;
    durableCount = Math.max(durableCount, count);
    for (int i = from; i < count; i++) {
      futures.get(i).complete(null);
    }
  }

  boolean isWriting() {
    return writing;
  }

  void markWriting() {
    writing = true;
  }
}
