package org.currantslip.core.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.store.StoreBreaker;
import org.currantslip.schema.LedgerAppend;
import org.currantslip.schema.LedgerAppendReply;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.LedgerVerdictStatus;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;

/**
 * Takes records to the node that usually writes their slot. Without its answer a record may or may
 * not be stored; this node then appends it itself, which is harmless because a record that is in
 * the log already is not appended again.
 */
final class AppendRouter {
  private static final int MAX_FRAME_BYTES = 512 * 1024;
  private static final long BLOCKED_MS = 1_000;

  private final NodeId self;
  private final PeerNetwork peers;
  private final Clock clock;
  private final StoreBreaker breaker;
  private final SlotHints hints;
  private final long peerMs;
  private final List<SlotWriter> writers;
  private final List<SlotCompactor> compactors;
  private final List<List<AppendRecord>> outboxes;
  private final long[] blockedUntilMs = new long[LedgerNames.SLOTS];

  private AppendRouter(
      NodeId self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      StoreBreaker breaker,
      LedgerOptions options) {
    this.self = self;
    this.peers = peers;
    this.clock = clock;
    this.breaker = breaker;
    hints = SlotHints.create(membership, clock);
    peerMs = options.peerMs();
    PartCache parts = PartCache.create();
    writers =
        IntStream.range(0, LedgerNames.SLOTS)
            .mapToObj(s -> SlotWriter.create(s, self, store, clock, breaker, parts, options))
            .toList();
    compactors =
        IntStream.range(0, LedgerNames.SLOTS)
            .mapToObj(s -> SlotCompactor.create(s, writers.get(s), store, clock, breaker, options))
            .toList();
    outboxes =
        Stream.<List<AppendRecord>>generate(ArrayList::new).limit(LedgerNames.SLOTS).toList();
  }

  static AppendRouter create(
      NodeId self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      StoreBreaker breaker,
      LedgerOptions options) {
    return new AppendRouter(self, store, peers, membership, clock, breaker, options);
  }

  /** Returns whether a record for this slot has no way to the store at present. */
  boolean isBlocked(int slot) {
    boolean noForward =
        hints.writerOf(slot).equals(self.getName()) || blockedUntilMs[slot] > clock.nowMs();
    return breaker.isOpen() && noForward;
  }

  /** Takes a record to its slot; its verdict always completes. */
  CompletableFuture<LedgerVerdict> append(AppendRecord rec) {
    if (hints.writerOf(rec.slot()).equals(self.getName())) {
      writers.get(rec.slot()).append(rec);
    } else {
      outboxes.get(rec.slot()).add(rec);
    }
    return rec.verdict();
  }

  /** Appends the records of another node. */
  CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append) {
    long expiresMs = clock.nowMs() + peerMs;
    List<AppendRecord> records =
        Stream.concat(
                append.getIntentList().stream().map(i -> AppendRecord.of(i, expiresMs)),
                append.getOutcomeList().stream().map(o -> AppendRecord.of(o, expiresMs)))
            .toList();
    records.forEach(r -> writers.get(r.slot()).append(r));
    CompletableFuture<?>[] all =
        records.stream().map(AppendRecord::verdict).toArray(CompletableFuture<?>[]::new);
    return CompletableFuture.allOf(all).thenApply(done -> toReply(records));
  }

  private static LedgerAppendReply toReply(List<AppendRecord> records) {
    return LedgerAppendReply.newBuilder()
        .addAllVerdict(records.stream().map(r -> r.verdict().join()).toList())
        .build();
  }

  void tick() {
    for (int slot = 0; slot < LedgerNames.SLOTS; slot++) {
      List<AppendRecord> outbox = outboxes.get(slot);
      if (!outbox.isEmpty()) {
        List<AppendRecord> sent = List.copyOf(outbox);
        outbox.clear();
        forward(slot, sent);
      }
    }
    writers.forEach(SlotWriter::tick);
    compactors.forEach(SlotCompactor::tick);
  }

  private void forward(int slot, List<AppendRecord> records) {
    String target = hints.writerOf(slot);
    if (target.equals(self.getName())) {
      records.forEach(r -> writers.get(slot).append(r));
      return;
    }
    List<AppendRecord> frame = new ArrayList<>();
    int bytes = 0;
    for (AppendRecord rec : records) {
      if (bytes > 0 && bytes + rec.sizeBytes() > MAX_FRAME_BYTES) {
        send(slot, target, frame);
        frame = new ArrayList<>();
        bytes = 0;
      }
      frame.add(rec);
      bytes += rec.sizeBytes();
    }
    send(slot, target, frame);
  }

  private void send(int slot, String target, List<AppendRecord> records) {
    List<AppendRecord> intents = records.stream().filter(r -> r.outcome() == null).toList();
    List<AppendRecord> ordered =
        Stream.concat(intents.stream(), records.stream().filter(r -> r.outcome() != null)).toList();
    LedgerAppend.Builder append = LedgerAppend.newBuilder().setSlot(slot);
    for (AppendRecord rec : ordered) {
      if (rec.outcome() == null) {
        append.addIntent(rec.intent());
      } else {
        append.addOutcome(rec.outcome());
      }
    }
    PeerFrame frame = PeerFrame.newBuilder().setLedgerAppend(append).build();
    peers
        .ask(target, frame, peerMs)
        .whenComplete((reply, failure) -> onReply(slot, target, ordered, reply, failure));
  }

  private void onReply(
      int slot,
      String target,
      List<AppendRecord> records,
      @Nullable PeerFrame reply,
      @Nullable Throwable failure) {
    if (failure != null
        || reply == null
        || reply.getLedgerAppendReply().getVerdictCount() != records.size()) {
      hints.suspect(target);
      records.forEach(r -> writers.get(slot).append(r));
      return;
    }
    for (int i = 0; i < records.size(); i++) {
      onVerdict(slot, records.get(i), reply.getLedgerAppendReply().getVerdict(i));
    }
  }

  private void onVerdict(int slot, AppendRecord rec, LedgerVerdict verdict) {
    if (verdict.getStatus() != LedgerVerdictStatus.LEDGER_UNAVAILABLE) {
      rec.complete(verdict);
      return;
    }
    blockedUntilMs[slot] = clock.nowMs() + BLOCKED_MS;
    writers.get(slot).append(rec);
  }
}
