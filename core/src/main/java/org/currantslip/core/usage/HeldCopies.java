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

/** Copies kept for other nodes until those, or this node in their place, have stored them. */
final class HeldCopies {
  private final int maxRecords;
  private final Map<NodeId, TreeMap<Long, List<UsageRecord>>> held = new HashMap<>();
  private int records;

  /** A batch of a node that is gone. */
  record Orphan(NodeId owner, long sequence, List<UsageRecord> records) {}

  private HeldCopies(int maxRecords) {
    this.maxRecords = maxRecords;
  }

  static HeldCopies create(int maxRecords) {
    return new HeldCopies(maxRecords);
  }

  /** Keeps a copy; false when it cannot be kept or an earlier part of its batch is missing. */
  boolean keep(UsageCopy copy) {
    int known = sizeOf(copy.getOwner(), copy.getSequence()) - copy.getFirstIndex();
    if (known < 0 || records + copy.getRecordCount() > maxRecords) {
      return false;
    }
    List<UsageRecord> batch =
        held.computeIfAbsent(copy.getOwner(), o -> new TreeMap<>())
            .computeIfAbsent(copy.getSequence(), s -> new ArrayList<>());
    copy.getRecordList().stream().skip(known).forEach(batch::add);
    records += Math.max(0, copy.getRecordCount() - known);
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
      forgetIfEmpty(owner);
    }
  }

  /** Drops a stored batch; false when it has grown meanwhile and must be written again. */
  boolean dropIfUnchanged(Orphan orphan) {
    TreeMap<Long, List<UsageRecord>> batches = held.get(orphan.owner());
    List<UsageRecord> now = batches == null ? null : batches.get(orphan.sequence());
    if (batches == null || now == null) {
      return true;
    }
    if (now.size() > orphan.records().size()) {
      return false;
    }
    batches.remove(orphan.sequence());
    records -= now.size();
    forgetIfEmpty(orphan.owner());
    return true;
  }

  private void forgetIfEmpty(NodeId owner) {
    TreeMap<Long, List<UsageRecord>> batches = held.get(owner);
    if (batches != null && batches.isEmpty()) {
      held.remove(owner);
    }
  }

  /** Returns the batches of owners that are gone. */
  List<Orphan> orphans(Predicate<NodeId> isGone) {
    return held.entrySet().stream()
        .filter(e -> isGone.test(e.getKey()))
        .flatMap(
            e ->
                e.getValue().entrySet().stream()
                    .filter(b -> !b.getValue().isEmpty())
                    .map(b -> new Orphan(e.getKey(), b.getKey(), List.copyOf(b.getValue()))))
        .toList();
  }

  int size() {
    return records;
  }
}
