package org.currantslip.core.ledger;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.store.SerialStoreCaller;
import org.currantslip.core.store.StoreCircuitBreaker;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerPart;
import org.currantslip.schema.LedgerPartRef;
import org.currantslip.schema.LedgerSnapshot;

/**
 * Compacts the tail segments of a slot into a part and deletes objects that are no longer needed.
 *
 * <p>The part is stored first, then added to the snapshot with a conditional update, and only then
 * are its segments deleted. Parts older than the key window are removed. The snapshot's horizon
 * ensures that their keys are not accepted as new, even by nodes whose clocks differ.
 */
final class SlotCompactor {
  private static final long COMPACTION_THRESHOLD_BYTES = 400 * 1024;
  private static final long MAX_PART_BYTES = 800 * 1024;
  private static final int SEGMENTS_PER_SWEEP = 32;
  private static final long RETRY_MS = 5_000;

  private record ObsoleteObject(String name, long version) {}

  private final int slot;
  private final SlotWriter writer;
  private final ObjectStore store;
  private final Clock clock;
  private final StoreCircuitBreaker breaker;
  private final SerialStoreCaller storeCaller;
  private final int compactSegments;
  private final long retentionMs;
  private final Deque<ObsoleteObject> obsolete = new ArrayDeque<>();
  private boolean sweepDue;
  private long nextAttemptMs;

  private SlotCompactor(
      int slot,
      SlotWriter writer,
      ObjectStore store,
      Clock clock,
      StoreCircuitBreaker breaker,
      LedgerOptions options) {
    this.slot = slot;
    this.writer = writer;
    this.store = store;
    this.clock = clock;
    this.breaker = breaker;
    storeCaller = SerialStoreCaller.create(clock, breaker, options.storeTimeoutMs());
    compactSegments = options.compactionThresholdSegments();
    retentionMs = options.keyWindowMs() + options.futureSkewMs();
  }

  static SlotCompactor create(
      int slot,
      SlotWriter writer,
      ObjectStore store,
      Clock clock,
      StoreCircuitBreaker breaker,
      LedgerOptions options) {
    return new SlotCompactor(slot, writer, store, clock, breaker, options);
  }

  void tick() {
    storeCaller.tick();
    if (storeCaller.isBusy() || breaker.isOpen()) {
      return;
    }
    if (!obsolete.isEmpty()) {
      deleteNext();
    } else if (sweepDue) {
      sweep();
    } else if (clock.nowMs() >= nextAttemptMs && writer.canCompact() && isCompactionDue()) {
      storePart();
    }
  }

  private boolean isCompactionDue() {
    SlotView view = writer.view();
    return view.tailSegments() >= compactSegments || view.tailBytes() >= COMPACTION_THRESHOLD_BYTES;
  }

  private void storePart() {
    LedgerPart part = writer.view().toPart(MAX_PART_BYTES);
    LedgerSnapshot base = writer.view().snapshot();
    long baseVersion = writer.view().snapshotVersion();
    String name = LedgerNames.part(slot, part.getThroughSequence());
    storeCaller.run(
        () -> store.create(name, part.toByteString()),
        version -> publish(base, baseVersion, refOf(part, version)),
        kind -> retryLater());
  }

  private static LedgerPartRef refOf(LedgerPart part, long version) {
    LongStream issued =
        Stream.concat(
                part.getIntentList().stream(),
                part.getOutcomeList().stream().map(LedgerOutcome::getIntent))
            .mapToLong(LedgerIntent::getIssuedMs);
    LongSummaryStatistics range = issued.summaryStatistics();
    return LedgerPartRef.newBuilder()
        .setThroughSequence(part.getThroughSequence())
        .setMinIssuedMs(range.getMin())
        .setMaxIssuedMs(range.getMax())
        .setObjectVersion(version)
        .build();
  }

  private void publish(LedgerSnapshot base, long baseVersion, LedgerPartRef added) {
    long horizonMs = Math.max(base.getHorizonMs(), clock.nowMs() - retentionMs);
    List<LedgerPartRef> kept =
        base.getPartList().stream().filter(p -> p.getMaxIssuedMs() >= horizonMs).toList();
    LedgerSnapshot next =
        LedgerSnapshot.newBuilder()
            .setSlot(slot)
            .setThroughSequence(added.getThroughSequence())
            .setHorizonMs(horizonMs)
            .addAllPart(kept)
            .addPart(added)
            .build();
    String name = LedgerNames.snapshot(slot);
    storeCaller.run(
        () ->
            baseVersion == 0
                ? store.create(name, next.toByteString())
                : store.update(name, next.toByteString(), baseVersion),
        version -> {
          onPublished(next, version);
          base.getPartList().stream()
              .filter(p -> p.getMaxIssuedMs() < horizonMs)
              .forEach(this::discard);
        },
        kind -> {
          if (kind == Kind.CONFLICT) {
            discard(added);
          }
          writer.invalidate();
          retryLater();
        });
  }

  private void onPublished(LedgerSnapshot next, long version) {
    if (next.getThroughSequence() <= writer.view().lastSequence()) {
      writer.view().applySnapshot(next, version);
    } else {
      writer.invalidate();
    }
    sweepDue = true;
  }

  private void discard(LedgerPartRef part) {
    obsolete.add(
        new ObsoleteObject(
            LedgerNames.part(slot, part.getThroughSequence()), part.getObjectVersion()));
  }

  private void sweep() {
    long through = writer.view().snapshot().getThroughSequence();
    storeCaller.run(
        () -> store.list(LedgerNames.segmentPrefix(slot), "", SEGMENTS_PER_SWEEP),
        found -> {
          List<StoredObject> covered =
              found.stream().filter(o -> LedgerCodec.segment(o).getSequence() <= through).toList();
          covered.forEach(o -> obsolete.add(new ObsoleteObject(o.name(), o.version())));
          sweepDue = covered.size() == SEGMENTS_PER_SWEEP;
        },
        kind -> {});
  }

  private void deleteNext() {
    ObsoleteObject next = obsolete.remove();
    storeCaller.run(() -> store.delete(next.name(), next.version()), done -> {}, kind -> {});
  }

  private void retryLater() {
    nextAttemptMs = clock.nowMs() + RETRY_MS;
  }
}
