package org.currantslip.core.ledger;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.ledger.LedgerEntry.State;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.store.SerialStoreCaller;
import org.currantslip.core.store.StoreCircuitBreaker;
import org.currantslip.schema.IntentAnswer;
import org.currantslip.schema.IntentFate;
import org.currantslip.schema.IntentQuery;
import org.currantslip.schema.LedgerAppend;
import org.currantslip.schema.LedgerAppendReply;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.NodeId;
import org.jspecify.annotations.Nullable;

/** A {@link Ledger} stored in the platform's object API as one log of segments per slot. */
public final class StoreLedger implements Ledger {
  private static final long OUTCOME_RETRY_MS = 1_000;

  private record TimedEntry(LedgerEntry entry, long atMs) {}

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private final LedgerOptions options;
  private final StoreCircuitBreaker breaker;
  private final SerialStoreCaller probe;
  private final AppendRouter router;
  private final IntentResolver resolver;
  private final Map<String, LedgerEntry> entries = new HashMap<>();
  private final Deque<TimedEntry> beginDeadlines = new ArrayDeque<>();
  private final Deque<TimedEntry> finishDeadlines = new ArrayDeque<>();
  private final Deque<TimedEntry> outcomeRetries = new ArrayDeque<>();

  private StoreLedger(
      NodeId self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      LedgerOptions options) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    this.options = options;
    breaker = StoreCircuitBreaker.create(clock);
    probe = SerialStoreCaller.create(clock, breaker, options.storeTimeoutMs());
    router = AppendRouter.create(self, store, peers, membership, clock, breaker, options);
    resolver =
        IntentResolver.create(membership, peers, clock, router, this::answerIntentQuery, options);
  }

  /** Returns the ledger of one node. */
  public static StoreLedger create(
      NodeId self,
      ObjectStore store,
      PeerNetwork peers,
      Membership membership,
      Clock clock,
      LedgerOptions options) {
    return new StoreLedger(self, store, peers, membership, clock, options);
  }

  @Override
  public CompletableFuture<LedgerDecision> begin(
      LedgerKey key, ByteString bodyHash, String requestId, boolean firstAttempt) {
    checkArgument(!entries.containsKey(requestId), "request %s was already started", requestId);
    LedgerIntent intent =
        LedgerIntent.newBuilder()
            .setAccount(key.account())
            .setKey(key.key())
            .setBodyHash(bodyHash)
            .setRequestId(requestId)
            .setWriter(self)
            .setIssuedMs(key.issuedMs())
            .build();
    LedgerEntry entry = LedgerEntry.create(intent, firstAttempt, clock.nowMs());
    RefusalException refusal = validate(entry);
    if (refusal != null) {
      return CompletableFuture.failedFuture(refusal);
    }
    entries.put(requestId, entry);
    beginDeadlines.add(new TimedEntry(entry, clock.nowMs() + options.storeTimeoutMs()));
    submit(entry, intent);
    return entry.decision();
  }

  private @Nullable RefusalException validate(LedgerEntry entry) {
    Ran ran = entry.ranIfNotDispatched();
    long issuedMs = entry.intent().getIssuedMs();
    if (issuedMs > clock.nowMs() + options.futureSkewMs()) {
      return LedgerRefusals.issuedInFuture(ran);
    }
    if (issuedMs < clock.nowMs() - options.keyWindowMs()) {
      return LedgerRefusals.expired(ran);
    }
    if (entries.size() >= options.maxRequests()) {
      return LedgerRefusals.tooMany(ran, breaker.retryAfterMs());
    }
    if (router.isUnavailable(LedgerNames.slotOf(entry.intent()))) {
      return LedgerRefusals.unavailable(ran, breaker.retryAfterMs());
    }
    return null;
  }

  private void submit(LedgerEntry entry, LedgerIntent intent) {
    long expiresMs = entry.startedMs() + options.storeTimeoutMs();
    router.append(AppendRecord.of(intent, expiresMs)).thenAccept(v -> onVerdict(entry, v));
  }

  private void onVerdict(LedgerEntry entry, LedgerVerdict verdict) {
    expirePendingBegins();
    if (entry.state() != State.PENDING) {
      return;
    }
    Ran ran = entry.ranIfNotDispatched();
    switch (verdict.getStatus()) {
      case LEDGER_STORED -> {
        entry.markReady(clock.nowMs());
        entry.decision().complete(new LedgerDecision.Run());
      }
      case LEDGER_EXISTS -> onExistingIntent(entry, KeyState.fromVerdict(verdict));
      case LEDGER_EXPIRED -> reject(entry, LedgerRefusals.expired(ran));
      default -> abandon(entry, LedgerRefusals.unavailable(ran, breaker.retryAfterMs()));
    }
  }

  // The key already has an intent in the log.

  private void onExistingIntent(LedgerEntry entry, KeyState existing) {
    if (existing.requestId().equals(entry.requestId())) {
      abandon(entry, LedgerRefusals.unavailable(entry.ranIfNotDispatched(), 0));
    } else if (!existing.intent().getBodyHash().equals(entry.intent().getBodyHash())) {
      Ran ran = existing.result() == LedgerResult.ANSWERED ? Ran.YES : Ran.UNKNOWN;
      reject(entry, LedgerRefusals.bodyDiffers(ran));
    } else if (existing.result() == LedgerResult.ANSWERED && existing.outcome() != null) {
      replay(entry, existing.outcome());
    } else if (existing.result() == LedgerResult.UNKNOWN) {
      reject(entry, LedgerRefusals.outcomeUnknown());
    } else if (existing.isOpen()) {
      resolver
          .queryFate(existing.intent())
          .thenAccept(a -> onIntentAnswer(entry, existing.intent(), a));
    } else {
      reject(entry, LedgerRefusals.inFlight());
    }
  }

  private void onIntentAnswer(LedgerEntry entry, LedgerIntent existing, IntentAnswer answer) {
    if (entry.state() != State.PENDING) {
      return;
    }
    switch (answer.getFate()) {
      case FATE_ANSWERED -> replay(entry, answer.getOutcome());
      case FATE_NOT_DISPATCHED ->
          submit(entry, entry.intent().toBuilder().setSupersedes(existing.getRequestId()).build());
      case FATE_UNKNOWN ->
          resolver.storeUnknown(existing).thenAccept(v -> onUnknownStored(entry, existing, v));
      default -> reject(entry, LedgerRefusals.inFlight());
    }
  }

  private void onUnknownStored(LedgerEntry entry, LedgerIntent existing, LedgerVerdict verdict) {
    if (entry.state() != State.PENDING) {
      return;
    }
    switch (verdict.getStatus()) {
      case LEDGER_STORED -> reject(entry, LedgerRefusals.outcomeUnknown());
      case LEDGER_EXISTS -> {
        KeyState current = KeyState.fromVerdict(verdict);
        boolean inFlight = current.isOpen() || current.result() == LedgerResult.NOT_DISPATCHED;
        if (inFlight) {
          reject(entry, LedgerRefusals.inFlight());
        } else {
          onExistingIntent(entry, current);
        }
      }
      case LEDGER_EXPIRED -> reject(entry, LedgerRefusals.expired(Ran.UNKNOWN));
      default -> reject(entry, LedgerRefusals.unavailable(Ran.UNKNOWN, breaker.retryAfterMs()));
    }
  }

  private void replay(LedgerEntry entry, LedgerOutcome outcome) {
    entry.abandon();
    entries.remove(entry.requestId());
    entry.decision().complete(new LedgerDecision.Replay(outcome));
  }

  /** Refuses a request whose intent is not in the log. */
  private void reject(LedgerEntry entry, RefusalException refusal) {
    entry.abandon();
    entries.remove(entry.requestId());
    entry.decision().completeExceptionally(refusal);
  }

  /** Refuses a request whose intent may already be in the log or may still be appended. */
  private void abandon(LedgerEntry entry, RefusalException refusal) {
    entry.abandon();
    entry.finish(notDispatched(entry), clock.nowMs());
    storeOutcome(entry);
    entry.decision().completeExceptionally(refusal);
  }

  private static LedgerOutcome notDispatched(LedgerEntry entry) {
    return LedgerOutcome.newBuilder()
        .setAccount(entry.intent().getAccount())
        .setKey(entry.intent().getKey())
        .setRequestId(entry.requestId())
        .setResult(LedgerResult.NOT_DISPATCHED)
        .setIntent(entry.intent())
        .build();
  }

  // Dispatch and outcome.

  @Override
  public boolean markDispatched(LedgerKey key, String requestId) {
    LedgerEntry entry = entries.get(requestId);
    if (entry == null || entry.state() != State.READY) {
      return false;
    }
    if (clock.nowMs() - entry.readyMs() > options.dispatchTimeoutMs()) {
      entry.abandon();
      return false;
    }
    entry.markDispatched();
    return true;
  }

  @Override
  public CompletableFuture<Void> finish(LedgerKey key, LedgerOutcome outcome) {
    LedgerEntry entry = entries.get(outcome.getRequestId());
    checkArgument(entry != null, "request %s was not started", outcome.getRequestId());
    checkArgument(
        entry.outcome() == null, "request %s is already finished", outcome.getRequestId());
    if (outcome.getResult() == LedgerResult.NOT_DISPATCHED) {
      entry.abandon();
    }
    LedgerOutcome stored = limitBodySize(outcome.toBuilder().setIntent(entry.intent()).build());
    entry.finish(stored, clock.nowMs());
    finishDeadlines.add(new TimedEntry(entry, clock.nowMs() + options.storeTimeoutMs()));
    storeOutcome(entry);
    return entry.finished();
  }

  /** Replaces a body that exceeds the size limit with its hash. */
  private LedgerOutcome limitBodySize(LedgerOutcome outcome) {
    ByteString body = outcome.getBody();
    if (body.size() <= options.maxBodyBytes()) {
      return outcome;
    }
    byte[] hash = Hashing.sha256().hashBytes(body.toByteArray()).asBytes();
    return outcome.toBuilder()
        .clearBody()
        .setBodyOmitted(true)
        .setBodySha256(ByteString.copyFrom(hash))
        .build();
  }

  private void storeOutcome(LedgerEntry entry) {
    LedgerOutcome outcome = entry.outcome();
    if (outcome == null) {
      return;
    }
    AppendRecord rec = AppendRecord.of(outcome, clock.nowMs() + options.storeTimeoutMs());
    router.append(rec).thenAccept(v -> onOutcomeVerdict(entry, v));
  }

  private void onOutcomeVerdict(LedgerEntry entry, LedgerVerdict verdict) {
    switch (verdict.getStatus()) {
      case LEDGER_STORED, LEDGER_EXISTS, LEDGER_EXPIRED -> {
        entries.remove(entry.requestId());
        entry.finished().complete(null);
      }
      default -> outcomeRetries.add(new TimedEntry(entry, clock.nowMs() + OUTCOME_RETRY_MS));
    }
  }

  // Requests from other nodes.

  @Override
  public IntentAnswer answerIntentQuery(IntentQuery query) {
    LedgerEntry entry = entries.get(query.getRequestId());
    if (query.getWriterIncarnation() != self.getIncarnation() || entry == null) {
      return IntentResolver.toAnswer(query, IntentFate.FATE_UNKNOWN);
    }
    LedgerOutcome outcome = entry.outcome();
    if (entry.state() == State.ABANDONED) {
      return IntentResolver.toAnswer(query, IntentFate.FATE_NOT_DISPATCHED);
    }
    if (outcome == null) {
      return IntentResolver.toAnswer(query, IntentFate.IN_FLIGHT);
    }
    if (outcome.getResult() == LedgerResult.ANSWERED) {
      return IntentResolver.toAnswer(query, IntentFate.FATE_ANSWERED).toBuilder()
          .setOutcome(outcome)
          .build();
    }
    return IntentResolver.toAnswer(query, IntentFate.FATE_UNKNOWN);
  }

  @Override
  public CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append) {
    return router.onAppend(append);
  }

  // Timers.

  @Override
  public void tick() {
    expirePendingBegins();
    expirePendingFinishes();
    retryOutcomes();
    probe();
    router.tick();
  }

  private void expirePendingBegins() {
    for (TimedEntry due = beginDeadlines.peek(); isDue(due); due = beginDeadlines.peek()) {
      beginDeadlines.remove();
      if (due.entry().state() == State.PENDING) {
        Ran ran = wasStalled(due) ? Ran.UNKNOWN : due.entry().ranIfNotDispatched();
        abandon(due.entry(), LedgerRefusals.unavailable(ran, breaker.retryAfterMs()));
      }
    }
  }

  /** Returns whether this node was stalled for so long that the caller may have retried the key. */
  private boolean wasStalled(TimedEntry due) {
    return clock.nowMs() - due.atMs() > options.storeTimeoutMs();
  }

  private void expirePendingFinishes() {
    for (TimedEntry due = finishDeadlines.peek(); isDue(due); due = finishDeadlines.peek()) {
      finishDeadlines.remove();
      LedgerOutcome outcome = due.entry().outcome();
      boolean answered = outcome != null && outcome.getResult() == LedgerResult.ANSWERED;
      Ran ran = answered ? Ran.YES : Ran.UNKNOWN;
      due.entry()
          .finished()
          .completeExceptionally(LedgerRefusals.unavailable(ran, breaker.retryAfterMs()));
    }
  }

  private void retryOutcomes() {
    if (breaker.isOpen()) {
      return;
    }
    for (TimedEntry due = outcomeRetries.peek(); isDue(due); due = outcomeRetries.peek()) {
      outcomeRetries.remove();
      storeOutcome(due.entry());
    }
  }

  private boolean isDue(@Nullable TimedEntry due) {
    return due != null && due.atMs() <= clock.nowMs();
  }

  /** Probes the store while the circuit breaker is open. */
  private void probe() {
    probe.tick();
    if (!probe.isBusy() && breaker.tryAcquireProbe()) {
      probe.run(() -> store.get(LedgerNames.snapshot(0)), found -> {}, kind -> {});
    }
  }
}
