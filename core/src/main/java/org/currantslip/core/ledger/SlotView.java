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

/** In-memory view of one slot: its snapshot and the keys of the segments after it (the tail). */
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

  /** Clears the tail and restarts from the given snapshot. */
  void reset(LedgerSnapshot newSnapshot, long version) {
    tail.clear();
    tailBytes = 0;
    snapshot = newSnapshot;
    snapshotVersion = version;
    lastSequence = newSnapshot.getThroughSequence();
  }

  /** Replaces the snapshot with a newer one and drops the tail entries that it covers. */
  void applySnapshot(LedgerSnapshot newer, long version) {
    checkState(
        newer.getThroughSequence() <= lastSequence, "snapshot covers segments that were not read");
    if (version <= snapshotVersion) {
      return;
    }
    snapshot = newer;
    snapshotVersion = version;
    tail.values().removeIf(s -> s.sequence() <= newer.getThroughSequence());
    tailBytes = tail.values().stream().mapToLong(KeyState::sizeBytes).sum();
  }

  /** Applies the next segment to the tail. */
  void apply(LedgerSegment segment) {
    checkState(segment.getSequence() == lastSequence + 1, "missing segment after %s", lastSequence);
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
   * Looks up the key of a record. Parts are immutable, so the record tracks the parts that do not
   * contain its key; they need not be loaded again after eviction from the cache.
   */
  Lookup find(AppendRecord rec) {
    KeyState inTail = tail.get(rec.key());
    if (inTail != null) {
      return Lookup.found(inTail);
    }
    for (int i = snapshot.getPartCount() - 1; i >= 0; i--) {
      LedgerPartRef ref = snapshot.getPart(i);
      if (!mayContain(ref, rec.intent().getIssuedMs())
          || rec.isAbsentFrom(ref.getThroughSequence())) {
        continue;
      }
      Map<String, KeyState> part = parts.find(slot, ref.getThroughSequence());
      if (part == null) {
        return Lookup.needsPart(ref);
      }
      KeyState inPart = part.get(rec.key());
      if (inPart != null) {
        return Lookup.found(inPart);
      }
      rec.markAbsentFrom(ref.getThroughSequence());
    }
    return Lookup.absent();
  }

  private static boolean mayContain(LedgerPartRef part, long issuedMs) {
    return part.getMinIssuedMs() <= issuedMs && issuedMs <= part.getMaxIssuedMs();
  }

  /** Returns whether parts with keys of this issue time may already have been deleted. */
  boolean isExpired(LedgerIntent intent) {
    return intent.getIssuedMs() < snapshot.getHorizonMs();
  }

  /**
   * Returns a part with the oldest segments of the tail, of at most {@code maxBytes}. A key that is
   * updated by a later segment belongs to that segment.
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
