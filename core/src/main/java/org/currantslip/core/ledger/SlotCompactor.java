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
import org.currantslip.core.store.StoreBreaker;
import org.currantslip.core.store.StoreLane;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerPart;
import org.currantslip.schema.LedgerPartRef;
import org.currantslip.schema.LedgerSnapshot;

/**
 * Folds the tail of a slot into a part, and deletes what the snapshot no longer needs.
 *
 * <p>A part is stored first, then named in the snapshot by a conditional update, and only then are
 * its segments deleted. Parts past the key window are dropped; the snapshot's horizon keeps their
 * keys from being taken for new ones, whatever the clocks of other nodes say.
 */
final class SlotCompactor {
  private static final long COMPACT_BYTES = 400 * 1024;
  private static final long MAX_PART_BYTES = 800 * 1024;
  private static final int SWEEP_PAGE = 32;
  private static final long RETRY_MS = 5_000;

  private record Garbage(String name, long version) {}

  private final int slot;
  private final SlotWriter writer;
  private final ObjectStore store;
  private final Clock clock;
  private final StoreBreaker breaker;
  private final StoreLane lane;
  private final int compactSegments;
  private final long rememberMs;
  private final Deque<Garbage> garbage = new ArrayDeque<>();
  private boolean sweepDue;
  private long notBeforeMs;

  private SlotCompactor(
      int slot,
      SlotWriter writer,
      ObjectStore store,
      Clock clock,
      StoreBreaker breaker,
      LedgerOptions options) {
    this.slot = slot;
    this.writer = writer;
    this.store = store;
    this.clock = clock;
    this.breaker = breaker;
    lane = StoreLane.create(clock, breaker, options.storeMs());
    compactSegments = options.compactSegments();
    rememberMs = options.windowMs() + options.futureSkewMs();
  }

  static SlotCompactor create(
      int slot,
      SlotWriter writer,
      ObjectStore store,
      Clock clock,
      StoreBreaker breaker,
      LedgerOptions options) {
    return new SlotCompactor(slot, writer, store, clock, breaker, options);
  }

  void tick() {
    lane.tick();
    if (lane.isBusy() || breaker.isOpen()) {
      return;
    }
    if (!garbage.isEmpty()) {
      deleteNext();
    } else if (sweepDue) {
      sweep();
    } else if (clock.nowMs() >= notBeforeMs && writer.mayCompact() && isLong()) {
      storePart();
    }
  }

  private boolean isLong() {
    SlotView view = writer.view();
    return view.tailSegments() >= compactSegments || view.tailBytes() >= COMPACT_BYTES;
  }

  private void storePart() {
    LedgerPart part = writer.view().toPart(MAX_PART_BYTES);
    LedgerSnapshot base = writer.view().snapshot();
    long baseVersion = writer.view().snapshotVersion();
    String name = LedgerNames.part(slot, part.getThroughSequence());
    lane.run(
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
    long horizonMs = Math.max(base.getHorizonMs(), clock.nowMs() - rememberMs);
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
    lane.run(
        () ->
            baseVersion == 0
                ? store.create(name, next.toByteString())
                : store.update(name, next.toByteString(), baseVersion),
        version -> {
          published(next, version);
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

  private void published(LedgerSnapshot next, long version) {
    if (next.getThroughSequence() <= writer.view().lastSequence()) {
      writer.view().takeSnapshot(next, version);
    } else {
      writer.invalidate();
    }
    sweepDue = true;
  }

  private void discard(LedgerPartRef part) {
    garbage.add(
        new Garbage(LedgerNames.part(slot, part.getThroughSequence()), part.getObjectVersion()));
  }

  private void sweep() {
    long through = writer.view().snapshot().getThroughSequence();
    lane.run(
        () -> store.list(LedgerNames.segmentPrefix(slot), "", SWEEP_PAGE),
        found -> {
          List<StoredObject> covered =
              found.stream().filter(o -> LedgerCodec.segment(o).getSequence() <= through).toList();
          covered.forEach(o -> garbage.add(new Garbage(o.name(), o.version())));
          sweepDue = covered.size() == SWEEP_PAGE;
        },
        kind -> {});
  }

  private void deleteNext() {
    Garbage next = garbage.remove();
    lane.run(() -> store.delete(next.name(), next.version()), done -> {}, kind -> {});
  }

  private void retryLater() {
    notBeforeMs = clock.nowMs() + RETRY_MS;
  }
}
