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
import org.currantslip.core.store.StoreBreaker;
import org.currantslip.core.store.StoreLane;
import org.currantslip.schema.LedgerPartRef;
import org.currantslip.schema.LedgerResult;
import org.currantslip.schema.LedgerSegment;
import org.currantslip.schema.LedgerSnapshot;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.LedgerVerdictStatus;
import org.currantslip.schema.NodeId;

/**
 * Appends records to one slot, many at a time.
 *
 * <p>Any number of nodes may write a slot at once: each judges its records against the log it has
 * read and creates the next segment only if it is absent. A create can also succeed on a sequence
 * that was compacted and deleted meanwhile; so a segment counts, for its writer as for readers,
 * only if a snapshot read after it does not cover its sequence.
 */
final class SlotWriter {
  private static final int MAX_SEGMENT_BYTES = 256 * 1024;
  private static final int PAGE_SEGMENTS = 16;

  private final int slot;
  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final StoreBreaker breaker;
  private final StoreLane lane;
  private final PartCache parts;
  private final SlotView view;
  private final long batchMs;
  private final Deque<AppendRecord> queue = new ArrayDeque<>();
  private List<AppendRecord> writing = List.of();
  private boolean loaded;
  private boolean appended;
  private long nextAppendMs;
  private long nextNonce = 1;

  private SlotWriter(
      int slot,
      NodeId self,
      ObjectStore store,
      Clock clock,
      StoreBreaker breaker,
      PartCache parts,
      LedgerOptions options) {
    this.slot = slot;
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.breaker = breaker;
    this.parts = parts;
    lane = StoreLane.create(clock, breaker, options.storeMs());
    view = SlotView.create(slot, parts);
    batchMs = options.batchMs();
  }

  static SlotWriter create(
      int slot,
      NodeId self,
      ObjectStore store,
      Clock clock,
      StoreBreaker breaker,
      PartCache parts,
      LedgerOptions options) {
    return new SlotWriter(slot, self, store, clock, breaker, parts, options);
  }

  SlotView view() {
    return view;
  }

  /** Returns whether this node appended to the slot and the view is as it left it. */
  boolean mayCompact() {
    return loaded && appended;
  }

  /** Makes the next step read the slot anew. */
  void invalidate() {
    loaded = false;
  }

  void append(AppendRecord rec) {
    queue.add(rec);
  }

  void tick() {
    lane.tick();
    dropExpired();
    if (lane.isBusy()) {
      return;
    }
    if (breaker.isOpen()) {
      failQueue();
    } else if (!queue.isEmpty()) {
      step();
    }
  }

  private void step() {
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
    lane.run(
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

  /** Reads the segments after the last one read, then checks that none was compacted meanwhile. */
  private void refresh() {
    List<AppendRecord> waiting = List.copyOf(queue);
    loaded = false;
    lane.run(
        () ->
            store.list(
                LedgerNames.segmentPrefix(slot),
                LedgerNames.segment(slot, view.lastSequence()),
                PAGE_SEGMENTS),
        found -> checkRead(found, waiting),
        kind -> {});
  }

  private void checkRead(List<StoredObject> found, List<AppendRecord> waiting) {
    lane.run(
        () -> store.get(LedgerNames.snapshot(slot)),
        snapshot -> {
          LedgerSnapshot now = LedgerCodec.snapshot(snapshot);
          if (now.getThroughSequence() > view.lastSequence()) {
            resetTo(snapshot);
            refresh();
            return;
          }
          view.takeSnapshot(now, LedgerCodec.version(snapshot));
          boolean whole = foldAll(found);
          if (!whole || found.size() == PAGE_SEGMENTS) {
            refresh();
            return;
          }
          loaded = true;
          waiting.forEach(AppendRecord::markJudgedFresh);
        },
        kind -> {});
  }

  private boolean foldAll(List<StoredObject> found) {
    for (StoredObject object : found) {
      LedgerSegment segment = LedgerCodec.segment(object);
      if (segment.getSequence() != view.lastSequence() + 1) {
        return false;
      }
      view.fold(segment);
    }
    return true;
  }

  private void readPart(LedgerPartRef ref) {
    lane.run(
        () -> store.get(LedgerNames.part(slot, ref.getThroughSequence())),
        found -> found.ifPresentOrElse(o -> parts.put(LedgerCodec.part(o)), this::invalidate),
        kind -> {});
  }

  // Writing.

  private void appendNext() {
    Set<AppendRecord> batch = new LinkedHashSet<>();
    List<Runnable> verdicts = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    boolean readAgain = false;
    int bytes = 0;
    for (Iterator<AppendRecord> it = queue.iterator(); it.hasNext(); ) {
      AppendRecord rec = it.next();
      if (bytes + rec.sizeBytes() > MAX_SEGMENT_BYTES || !keys.add(rec.key())) {
        continue;
      }
      Lookup lookup = view.find(rec);
      if (lookup.missing().isPresent()) {
        readPart(lookup.missing().get());
        return;
      }
      switch (judge(rec, lookup)) {
        case APPEND -> {
          batch.add(rec);
          bytes += rec.sizeBytes();
        }
        case PRESENT -> {
          it.remove();
          verdicts.add(() -> rec.complete(stored()));
        }
        default -> {
          if (isSettled(rec, lookup)) {
            it.remove();
            LedgerVerdict rejected = rejected(rec, lookup);
            verdicts.add(() -> rec.complete(rejected));
          } else {
            readAgain = true;
          }
        }
      }
    }
    if (readAgain) {
      refresh();
    } else if (!batch.isEmpty()) {
      queue.removeAll(batch);
      write(List.copyOf(batch));
    }
    verdicts.forEach(Runnable::run);
  }

  private AppendRules.Judgement judge(AppendRecord rec, Lookup lookup) {
    return view.isExpired(rec.intent())
        ? AppendRules.Judgement.REJECT
        : AppendRules.judge(rec, lookup.state());
  }

  /** Returns whether reading the slot again could not change a rejection. */
  private boolean isSettled(AppendRecord rec, Lookup lookup) {
    return rec.isJudgedFresh()
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
    writing = batch;
    nextAppendMs = clock.nowMs() + batchMs;
    lane.run(
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

  /** Settles a create whose answer was lost: the segment is ours if it holds our nonce. */
  private void readBack(LedgerSegment mine) {
    lane.run(
        () -> store.get(LedgerNames.segment(slot, mine.getSequence())),
        found -> {
          if (found.isPresent() && isMine(mine, LedgerCodec.segment(found.get()))) {
            confirm(mine, found.get().version());
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

  private static boolean isMine(LedgerSegment mine, LedgerSegment found) {
    return found.getNonce() == mine.getNonce() && found.getWriter().equals(mine.getWriter());
  }

  /** Proves that the created sequence had not been compacted and deleted before. */
  private void confirm(LedgerSegment segment, long version) {
    lane.run(
        () -> store.get(LedgerNames.snapshot(slot)),
        found -> {
          LedgerSnapshot now = LedgerCodec.snapshot(found);
          if (now.getThroughSequence() >= segment.getSequence()) {
            removeStale(segment, version);
            return;
          }
          view.fold(segment);
          view.takeSnapshot(now, LedgerCodec.version(found));
          appended = true;
          List<AppendRecord> done = writing;
          writing = List.of();
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
    lane.run(
        () -> store.delete(LedgerNames.segment(slot, segment.getSequence()), version),
        done -> {},
        kind -> {});
  }

  private void requeue() {
    List<AppendRecord> again = new ArrayList<>(writing);
    writing = List.of();
    for (int i = again.size() - 1; i >= 0; i--) {
      queue.addFirst(again.get(i));
    }
    nextAppendMs = clock.nowMs();
  }
}
