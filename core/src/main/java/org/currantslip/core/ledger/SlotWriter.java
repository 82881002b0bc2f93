package org.currantslip.core.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoreException.Kind;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.store.SerialStoreCaller;
import org.currantslip.core.store.StoreCircuitBreaker;
import org.currantslip.schema.LedgerPartRef;
import org.currantslip.schema.LedgerResult;
import org.currantslip.schema.LedgerSegment;
import org.currantslip.schema.LedgerSnapshot;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.LedgerVerdictStatus;
import org.currantslip.schema.NodeId;

/**
 * Appends records to one slot in batches.
 *
 * <p>Several nodes may write to a slot concurrently. Each evaluates its records against the log it
 * has read and creates the next segment only if that segment does not exist. The create can also
 * succeed for a sequence that was compacted and deleted in the meantime. Writers and readers
 * therefore accept a segment only if a snapshot read afterwards does not cover its sequence.
 */
final class SlotWriter {
  private static final int MAX_SEGMENT_BYTES = 256 * 1024;
  private static final int SEGMENTS_PER_PAGE = 16;

  private final int slot;
  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final StoreCircuitBreaker breaker;
  private final SerialStoreCaller storeCaller;
  private final PartCache parts;
  private final SlotView view;
  private final long batchIntervalMs;
  private final Deque<AppendRecord> queue = new ArrayDeque<>();
  private List<AppendRecord> inFlight = List.of();
  private boolean loaded;
  private boolean hasAppended;
  private long nextAppendMs;
  private long nextNonce = 1;

  private SlotWriter(
      int slot,
      NodeId self,
      ObjectStore store,
      Clock clock,
      StoreCircuitBreaker breaker,
      PartCache parts,
      LedgerOptions options) {
    this.slot = slot;
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.breaker = breaker;
    this.parts = parts;
    storeCaller = SerialStoreCaller.create(clock, breaker, options.storeTimeoutMs());
    view = SlotView.create(slot, parts);
    batchIntervalMs = options.batchIntervalMs();
  }

  static SlotWriter create(
      int slot,
      NodeId self,
      ObjectStore store,
      Clock clock,
      StoreCircuitBreaker breaker,
      PartCache parts,
      LedgerOptions options) {
    return new SlotWriter(slot, self, store, clock, breaker, parts, options);
  }

  SlotView view() {
    return view;
  }

  /** Returns whether the view is current and this node has appended to the slot. */
  boolean canCompact() {
    return loaded && hasAppended;
  }

  /** Marks the view as outdated, so that the slot is read again before the next append. */
  void invalidate() {
    loaded = false;
  }

  void append(AppendRecord rec) {
    queue.add(rec);
  }

  void tick() {
    storeCaller.tick();
    dropExpired();
    if (storeCaller.isBusy()) {
      return;
    }
    if (breaker.isOpen()) {
      failQueue();
    } else if (!queue.isEmpty()) {
      loadOrAppend();
    }
  }

  private void loadOrAppend() {
    if (!loaded) {
      load();
    } else if (clock.nowMs() >= nextAppendMs) {
      appendNext();
    }
  }

  private void dropExpired() {
    List<AppendRecord> expired =
        queue.stream().filter(r -> r.expiresMs() <= clock.nowMs()).toList();
    if (!expired.isEmpty()) {
      queue.removeAll(expired);
      expired.forEach(AppendRecord::fail);
    }
  }

  private void failQueue() {
    List<AppendRecord> failed = List.copyOf(queue);
    queue.clear();
    failed.forEach(AppendRecord::fail);
  }

  // Reading.

  private void load() {
    storeCaller.run(
        () -> store.get(LedgerNames.snapshot(slot)),
        found -> {
          resetTo(found);
          refresh();
        },
        kind -> {});
  }

  private void resetTo(Optional<StoredObject> found) {
    view.reset(LedgerCodec.snapshot(found), LedgerCodec.version(found));
  }

  /** Reads the segments after the last one read and checks that none was compacted meanwhile. */
  private void refresh() {
    List<AppendRecord> waiting = List.copyOf(queue);
    loaded = false;
    storeCaller.run(
        () ->
            store.list(
                LedgerNames.segmentPrefix(slot),
                LedgerNames.segment(slot, view.lastSequence()),
                SEGMENTS_PER_PAGE),
        found -> verifyNotCompacted(found, waiting),
        kind -> {});
  }

  private void verifyNotCompacted(List<StoredObject> found, List<AppendRecord> waiting) {
    storeCaller.run(
        () -> store.get(LedgerNames.snapshot(slot)),
        snapshot -> {
          LedgerSnapshot current = LedgerCodec.snapshot(snapshot);
          if (current.getThroughSequence() > view.lastSequence()) {
            resetTo(snapshot);
            refresh();
            return;
          }
          view.applySnapshot(current, LedgerCodec.version(snapshot));
          boolean contiguous = applyAll(found);
          if (!contiguous || found.size() == SEGMENTS_PER_PAGE) {
            refresh();
            return;
          }
          loaded = true;
          waiting.forEach(AppendRecord::markCheckedAfterReload);
        },
        kind -> {});
  }

  private boolean applyAll(List<StoredObject> found) {
    for (StoredObject object : found) {
      LedgerSegment segment = LedgerCodec.segment(object);
      if (segment.getSequence() != view.lastSequence() + 1) {
        return false;
      }
      view.apply(segment);
    }
    return true;
  }

  private void readPart(LedgerPartRef ref) {
    storeCaller.run(
        () -> store.get(LedgerNames.part(slot, ref.getThroughSequence())),
        found -> found.ifPresentOrElse(o -> parts.put(LedgerCodec.part(o)), this::invalidate),
        kind -> {});
  }

  // Writing.

  private void appendNext() {
    Set<AppendRecord> batch = new LinkedHashSet<>();
    List<Runnable> verdicts = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    boolean needsRefresh = false;
    int bytes = 0;
    for (Iterator<AppendRecord> it = queue.iterator(); it.hasNext(); ) {
      AppendRecord rec = it.next();
      if (bytes + rec.sizeBytes() > MAX_SEGMENT_BYTES || !keys.add(rec.key())) {
        continue;
      }
      Lookup lookup = view.find(rec);
      if (lookup.missingPart().isPresent()) {
        readPart(lookup.missingPart().get());
        return;
      }
      switch (evaluate(rec, lookup)) {
        case APPEND -> {
          batch.add(rec);
          bytes += rec.sizeBytes();
        }
        case PRESENT -> {
          it.remove();
          verdicts.add(() -> rec.complete(stored()));
        }
        default -> {
          if (isFinal(rec, lookup)) {
            it.remove();
            LedgerVerdict rejected = rejected(rec, lookup);
            verdicts.add(() -> rec.complete(rejected));
          } else {
            needsRefresh = true;
          }
        }
      }
    }
    if (needsRefresh) {
      refresh();
    } else if (!batch.isEmpty()) {
      queue.removeAll(batch);
      write(List.copyOf(batch));
    }
    verdicts.forEach(Runnable::run);
  }

  private AppendRules.Decision evaluate(AppendRecord rec, Lookup lookup) {
    return view.isExpired(rec.intent())
        ? AppendRules.Decision.REJECT
        : AppendRules.evaluate(rec, lookup.state());
  }

  /** Returns whether a rejection is final, that is, reading the slot again cannot change it. */
  private boolean isFinal(AppendRecord rec, Lookup lookup) {
    return rec.isCheckedAfterReload()
        || view.isExpired(rec.intent())
        || lookup.state().filter(s -> s.result() == LedgerResult.ANSWERED).isPresent();
  }

  private LedgerVerdict rejected(AppendRecord rec, Lookup lookup) {
    if (view.isExpired(rec.intent()) || lookup.state().isEmpty()) {
      return LedgerVerdict.newBuilder().setStatus(LedgerVerdictStatus.LEDGER_EXPIRED).build();
    }
    return lookup.state().get().toVerdict(LedgerVerdictStatus.LEDGER_EXISTS);
  }

  private static LedgerVerdict stored() {
    return LedgerVerdict.newBuilder().setStatus(LedgerVerdictStatus.LEDGER_STORED).build();
  }

  private void write(List<AppendRecord> batch) {
    LedgerSegment segment = toSegment(batch);
    String name = LedgerNames.segment(slot, segment.getSequence());
    inFlight = batch;
    nextAppendMs = clock.nowMs() + batchIntervalMs;
    storeCaller.run(
        () -> store.create(name, segment.toByteString()),
        version -> confirm(segment, version),
        kind -> {
          if (kind == Kind.OUTCOME_UNKNOWN) {
            readBack(segment);
          } else {
            requeue();
            if (kind == Kind.CONFLICT) {
              refresh();
            }
          }
        });
  }

  private LedgerSegment toSegment(List<AppendRecord> batch) {
    LedgerSegment.Builder segment =
        LedgerSegment.newBuilder()
            .setSlot(slot)
            .setSequence(view.lastSequence() + 1)
            .setNonce(nextNonce++)
            .setWriter(self);
    for (AppendRecord rec : batch) {
      if (rec.outcome() == null) {
        segment.addIntent(rec.intent());
      } else {
        segment.addOutcome(rec.outcome());
      }
    }
    return segment.build();
  }

  /** Checks by nonce whether a create with an unknown outcome stored this writer's segment. */
  private void readBack(LedgerSegment written) {
    storeCaller.run(
        () -> store.get(LedgerNames.segment(slot, written.getSequence())),
        found -> {
          if (found.isPresent() && isOwnSegment(written, LedgerCodec.segment(found.get()))) {
            confirm(written, found.get().version());
          } else {
            requeue();
            invalidate();
          }
        },
        kind -> {
          requeue();
          invalidate();
        });
  }

  private static boolean isOwnSegment(LedgerSegment written, LedgerSegment found) {
    return found.getNonce() == written.getNonce() && found.getWriter().equals(written.getWriter());
  }

  /** Verifies that the created sequence had not already been compacted and deleted. */
  private void confirm(LedgerSegment segment, long version) {
    storeCaller.run(
        () -> store.get(LedgerNames.snapshot(slot)),
        found -> {
          LedgerSnapshot current = LedgerCodec.snapshot(found);
          if (current.getThroughSequence() >= segment.getSequence()) {
            removeStale(segment, version);
            return;
          }
          view.apply(segment);
          view.applySnapshot(current, LedgerCodec.version(found));
          hasAppended = true;
          List<AppendRecord> done = inFlight;
          inFlight = List.of();
          done.forEach(r -> r.complete(stored()));
        },
        kind -> {
          requeue();
          invalidate();
        });
  }

  private void removeStale(LedgerSegment segment, long version) {
    requeue();
    invalidate();
    storeCaller.run(
        () -> store.delete(LedgerNames.segment(slot, segment.getSequence()), version),
        done -> {},
        kind -> {});
  }

  private void requeue() {
    List<AppendRecord> requeued = new ArrayList<>(inFlight);
    inFlight = List.of();
    for (int i = requeued.size() - 1; i >= 0; i--) {
      queue.addFirst(requeued.get(i));
    }
    nextAppendMs = clock.nowMs();
  }
}
