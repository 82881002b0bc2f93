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
import org.currantslip.core.store.StoreCircuitBreaker;
import org.currantslip.schema.LedgerAppend;
import org.currantslip.schema.LedgerAppendReply;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.LedgerVerdictStatus;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;

/**
 * Forwards records to the preferred writer of their slot.
 *
 * <p>If the writer does not reply, the record may or may not be stored. This node then appends the
 * record itself. That is safe because an append is idempotent: a record already in the log is not
 * appended again.
 */
final class AppendRouter {
  private static final int MAX_FRAME_BYTES = 512 * 1024;
  private static final long FORWARD_BACKOFF_MS = 1_000;

  private final NodeId self;
  private final PeerNetwork peers;
  private final Clock clock;
  private final StoreCircuitBreaker breaker;
  private final SlotHints slotHints;
  private final long peerTimeoutMs;
  private final List<SlotWriter> writers;
  private final List<SlotCompactor> compactors;
  private final List<List<AppendRecord>> outboxes;
  private final long[] forwardBackoffUntilMs = new long[LedgerNames.SLOT_COUNT];

  private AppendRouter(
      NodeId self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      StoreCircuitBreaker breaker,
      LedgerOptions options) {
    this.self = self;
    this.peers = peers;
    this.clock = clock;
    this.breaker = breaker;
    slotHints = SlotHints.create(membership, clock);
    peerTimeoutMs = options.peerTimeoutMs();
    PartCache parts = PartCache.create();
    writers =
        IntStream.range(0, LedgerNames.SLOT_COUNT)
            .mapToObj(s -> SlotWriter.create(s, self, store, clock, breaker, parts, options))
            .toList();
    compactors =
        IntStream.range(0, LedgerNames.SLOT_COUNT)
            .mapToObj(s -> SlotCompactor.create(s, writers.get(s), store, clock, breaker, options))
            .toList();
    outboxes =
        Stream.<List<AppendRecord>>generate(ArrayList::new).limit(LedgerNames.SLOT_COUNT).toList();
  }

  static AppendRouter create(
      NodeId self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      StoreCircuitBreaker breaker,
      LedgerOptions options) {
    return new AppendRouter(self, store, peers, membership, clock, breaker, options);
  }

  /** Returns whether a record for this slot can currently be neither stored nor forwarded. */
  boolean isUnavailable(int slot) {
    boolean cannotForward =
        slotHints.preferredWriter(slot).equals(self.getName())
            || forwardBackoffUntilMs[slot] > clock.nowMs();
    return breaker.isOpen() && cannotForward;
  }

  /** Appends a record to its slot. The returned future always completes normally. */
  CompletableFuture<LedgerVerdict> append(AppendRecord rec) {
    if (slotHints.preferredWriter(rec.slot()).equals(self.getName())) {
      writers.get(rec.slot()).append(rec);
    } else {
      outboxes.get(rec.slot()).add(rec);
    }
    return rec.verdict();
  }

  /** Appends records forwarded by another node. */
  CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append) {
    long expiresMs = clock.nowMs() + peerTimeoutMs;
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
    for (int slot = 0; slot < LedgerNames.SLOT_COUNT; slot++) {
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
    String target = slotHints.preferredWriter(slot);
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
        .request(target, frame, peerTimeoutMs)
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
      slotHints.suspect(target);
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
    forwardBackoffUntilMs[slot] = clock.nowMs() + FORWARD_BACKOFF_MS;
    writers.get(slot).append(rec);
  }
}
