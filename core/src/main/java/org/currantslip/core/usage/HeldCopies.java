package org.currantslip.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.UsageCopy;
import org.currantslip.schema.UsageRecord;

/** Copies of other nodes' records, held until the owner or this node has stored them. */
final class HeldCopies {
  private final int maxRecords;
  private final Map<NodeId, TreeMap<Long, List<UsageRecord>>> held = new HashMap<>();
  private int records;

  /** A held batch whose owner is gone. */
  record OrphanedBatch(NodeId owner, long sequence, List<UsageRecord> records) {}

  private HeldCopies(int maxRecords) {
    this.maxRecords = maxRecords;
  }

  static HeldCopies create(int maxRecords) {
    return new HeldCopies(maxRecords);
  }

  /**
   * Adds a copy; returns false if there is no capacity or earlier records of the batch are missing.
   */
  boolean add(UsageCopy copy) {
    int alreadyHeld = sizeOf(copy.getOwner(), copy.getSequence()) - copy.getFirstIndex();
    if (alreadyHeld < 0 || records + copy.getRecordCount() > maxRecords) {
      return false;
    }
    List<UsageRecord> batch =
        held.computeIfAbsent(copy.getOwner(), o -> new TreeMap<>())
            .computeIfAbsent(copy.getSequence(), s -> new ArrayList<>());
    copy.getRecordList().stream().skip(alreadyHeld).forEach(batch::add);
    records += Math.max(0, copy.getRecordCount() - alreadyHeld);
    return true;
  }

  private int sizeOf(NodeId owner, long sequence) {
    TreeMap<Long, List<UsageRecord>> batches = held.get(owner);
    List<UsageRecord> batch = batches == null ? null : batches.get(sequence);
    return batch == null ? 0 : batch.size();
  }

  void release(NodeId owner, long throughSequence) {
    TreeMap<Long, List<UsageRecord>> batches = held.get(owner);
    if (batches != null) {
      Map<Long, List<UsageRecord>> released = batches.headMap(throughSequence, true);
      released.values().forEach(b -> records -= b.size());
      released.clear();
      removeOwnerIfEmpty(owner);
    }
  }

  /** Removes a stored batch; returns false if it has grown since and must be written again. */
  boolean removeIfUnchanged(OrphanedBatch orphan) {
    TreeMap<Long, List<UsageRecord>> batches = held.get(orphan.owner());
    List<UsageRecord> current = batches == null ? null : batches.get(orphan.sequence());
    if (batches == null || current == null) {
      return true;
    }
    if (current.size() > orphan.records().size()) {
      return false;
    }
    batches.remove(orphan.sequence());
    records -= current.size();
    removeOwnerIfEmpty(orphan.owner());
    return true;
  }

  private void removeOwnerIfEmpty(NodeId owner) {
    TreeMap<Long, List<UsageRecord>> batches = held.get(owner);
    if (batches != null && batches.isEmpty()) {
      held.remove(owner);
    }
  }

  /** Returns the batches whose owners are gone. */
  List<OrphanedBatch> orphanedBatches(Predicate<NodeId> isGone) {
    return held.entrySet().stream()
        .filter(e -> isGone.test(e.getKey()))
        .flatMap(
            e ->
                e.getValue().entrySet().stream()
                    .filter(b -> !b.getValue().isEmpty())
                    .map(b -> new OrphanedBatch(e.getKey(), b.getKey(), List.copyOf(b.getValue()))))
        .toList();
  }

  int size() {
    return records;
  }
}
