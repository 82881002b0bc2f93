package org.currantslip.core.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.UsageRecord;

/** Records of this node under one sequence, their copies, and who waits for them. */
final class OwnBatch {
  private static final int MAX_BYTES = 512 * 1024;

  /** A peer that keeps the first {@code acked} records. */
  static final class Copy {
    private final NodeId peer;
    private int acked;
    private boolean asking;

    private Copy(NodeId peer) {
      this.peer = peer;
    }

    NodeId peer() {
      return peer;
    }

    int acked() {
      return acked;
    }

    boolean isAsking() {
      return asking;
    }

    void markAsking() {
      asking = true;
    }

    void markAcked(int count) {
      asking = false;
      acked = Math.max(acked, count);
    }
  }

  private final long sequence;
  private final long openedMs;
  private final List<UsageRecord> records = new ArrayList<>();
  private final List<CompletableFuture<Void>> waiting = new ArrayList<>();
  private final List<Copy> copies = new ArrayList<>();
  private int bytes;
  private int safe;
  private boolean writing;

  private OwnBatch(long sequence, long openedMs) {
    this.sequence = sequence;
    this.openedMs = openedMs;
  }

  static OwnBatch open(long sequence, long nowMs) {
    return new OwnBatch(sequence, nowMs);
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
    CompletableFuture<Void> safeNow = new CompletableFuture<>();
    records.add(rec);
    waiting.add(safeNow);
    bytes += rec.getSerializedSize();
    return safeNow;
  }

  List<UsageRecord> records() {
    return List.copyOf(records);
  }

  /** Returns at most {@code limit} records from {@code first} on. */
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

  /** Returns whether some record is not safe yet. */
  boolean hasUnsafe() {
    return safe < records.size();
  }

  /** Completes the records that enough peers keep. */
  void completeCopied(int neededCopies) {
    if (copies.size() >= neededCopies) {
      completeThrough(copies.stream().mapToInt(Copy::acked).min().orElse(0));
    }
  }

  /** Completes every record. */
  void completeAll() {
    completeThrough(records.size());
  }

  private void completeThrough(int count) {
    int from = safe;
    safe = Math.max(safe, count);
    for (int i = from; i < count; i++) {
      waiting.get(i).complete(null);
    }
  }

  boolean isWriting() {
    return writing;
  }

  void markWriting() {
    writing = true;
  }
}
