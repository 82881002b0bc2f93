package org.currantslip.core.ledger;

import static com.google.common.base.Preconditions.checkState;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerPart;
import org.currantslip.schema.LedgerPartRef;
import org.currantslip.schema.LedgerSegment;
import org.currantslip.schema.LedgerSnapshot;

/** What a node has read of one slot: the snapshot, and the keys of the segments after it. */
final class SlotView {
  private final int slot;
  private final PartCache parts;
  private final Map<String, KeyState> tail = new HashMap<>();
  private LedgerSnapshot snapshot = LedgerSnapshot.getDefaultInstance();
  private long snapshotVersion;
  private long lastSequence;
  private long tailBytes;

  private SlotView(int slot, PartCache parts) {
    this.slot = slot;
    this.parts = parts;
  }

  static SlotView create(int slot, PartCache parts) {
    return new SlotView(slot, parts);
  }

  /** Forgets the tail and starts again from a snapshot. */
  void reset(LedgerSnapshot newSnapshot, long version) {
    tail.clear();
    tailBytes = 0;
    snapshot = newSnapshot;
    snapshotVersion = version;
    lastSequence = newSnapshot.getThroughSequence();
  }

  /** Takes a newer snapshot that covers no more than what was read, and drops what it covers. */
  void takeSnapshot(LedgerSnapshot newer, long version) {
    checkState(newer.getThroughSequence() <= lastSequence, "snapshot is ahead of the view");
    if (version <= snapshotVersion) {
      return;
    }
    snapshot = newer;
    snapshotVersion = version;
    tail.values().removeIf(s -> s.sequence() <= newer.getThroughSequence());
    tailBytes = tail.values().stream().mapToLong(KeyState::sizeBytes).sum();
  }

  /** Adds the next segment. */
  void fold(LedgerSegment segment) {
    checkState(segment.getSequence() == lastSequence + 1, "gap after %s", lastSequence);
    lastSequence = segment.getSequence();
    for (LedgerOutcome outcome : segment.getOutcomeList()) {
      put(KeyState.of(outcome, lastSequence));
    }
    for (LedgerIntent intent : segment.getIntentList()) {
      put(KeyState.of(intent, lastSequence));
    }
  }

  private void put(KeyState state) {
    KeyState old = tail.put(LedgerNames.keyOf(state.intent()), state);
    tailBytes += state.sizeBytes() - (old == null ? 0 : old.sizeBytes());
  }

  /**
   * Looks up the key of a record. Parts never change, so a record remembers those that lack its
   * key, and the cache may drop them.
   */
  Lookup find(AppendRecord rec) {
    KeyState inTail = tail.get(rec.key());
    if (inTail != null) {
      return Lookup.found(inTail);
    }
    for (int i = snapshot.getPartCount() - 1; i >= 0; i--) {
      LedgerPartRef ref = snapshot.getPart(i);
      if (!covers(ref, rec.intent().getIssuedMs()) || rec.isRuledOut(ref.getThroughSequence())) {
        continue;
      }
      Map<String, KeyState> part = parts.find(slot, ref.getThroughSequence());
      if (part == null) {
        return Lookup.missing(ref);
      }
      KeyState inPart = part.get(rec.key());
      if (inPart != null) {
        return Lookup.found(inPart);
      }
      rec.ruleOut(ref.getThroughSequence());
    }
    return Lookup.absent();
  }

  private static boolean covers(LedgerPartRef part, long issuedMs) {
    return part.getMinIssuedMs() <= issuedMs && issuedMs <= part.getMaxIssuedMs();
  }

  /** Returns whether the parts that held keys of this time of issue may have been dropped. */
  boolean isExpired(LedgerIntent intent) {
    return intent.getIssuedMs() < snapshot.getHorizonMs();
  }

  /**
   * Returns the oldest part of the tail, whole segments of at most {@code maxBytes}. A key that a
   * later segment names again is left to that segment.
   */
  LedgerPart toPart(long maxBytes) {
    long through = lastSequence;
    long bytes = 0;
    List<KeyState> oldestFirst =
        tail.values().stream().sorted(Comparator.comparingLong(KeyState::sequence)).toList();
    for (KeyState state : oldestFirst) {
      bytes += state.sizeBytes();
      if (bytes > maxBytes) {
        through = state.sequence() - 1;
        break;
      }
    }
    LedgerPart.Builder part = LedgerPart.newBuilder().setSlot(slot).setThroughSequence(through);
    for (KeyState state : oldestFirst) {
      if (state.sequence() <= through) {
        addTo(part, state);
      }
    }
    return part.build();
  }

  private static void addTo(LedgerPart.Builder part, KeyState state) {
    LedgerOutcome outcome = state.outcome();
    if (outcome == null) {
      part.addIntent(state.intent());
    } else {
      part.addOutcome(outcome);
    }
  }

  LedgerSnapshot snapshot() {
    return snapshot;
  }

  long snapshotVersion() {
    return snapshotVersion;
  }

  long lastSequence() {
    return lastSequence;
  }

  long tailSegments() {
    return lastSequence - snapshot.getThroughSequence();
  }

  long tailBytes() {
    return tailBytes;
  }
}
