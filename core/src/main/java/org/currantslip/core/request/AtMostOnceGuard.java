package org.currantslip.core.request;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.ledger.LedgerDecision;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;

/** One request's side of the ledger: what it has reserved, and what it may say of its key. */
final class AtMostOnceGuard {
  /** How long after its issue a key's first sending is believed to be the only one. */
  private static final long FIRST_ATTEMPT_MS = 5_000;

  private final Ledger ledger;
  private final Clock clock;
  private final RouterRequest request;
  private boolean demanded;
  private boolean reserved;
  private boolean finished;
  private boolean marked;

  private AtMostOnceGuard(Ledger ledger, Clock clock, RouterRequest request) {
    this.ledger = ledger;
    this.clock = clock;
    this.request = request;
  }

  static AtMostOnceGuard create(Ledger ledger, Clock clock, RouterRequest request) {
    return new AtMostOnceGuard(ledger, clock, request);
  }

  /** Sets whether a rule demands that the request runs at most once. */
  void demand(boolean demanded) {
    this.demanded = demanded;
  }

  boolean isDemanded() {
    return demanded;
  }

  boolean isReserved() {
    return reserved;
  }

  boolean isFinished() {
    return finished;
  }

  CompletableFuture<LedgerDecision> reserve() {
    return ledger.begin(key(), bodyHash(), request.requestId(), isFirstAttempt());
  }

  /** The intent is stored. */
  void reserved() {
    reserved = true;
  }

  /**
   * Returns whether another sending of this key may have run or may still run. The ledger cannot
   * rule that out: an earlier sending may wait at a stalled node, with no intent stored yet.
   */
  boolean mayRunElsewhere() {
    return request.key() != null && !isFirstAttempt();
  }

  /** A caller that waited for long may have sent the key to another node meanwhile. */
  private boolean isFirstAttempt() {
    return request.firstAttempt() && clock.nowMs() - key().issuedMs() <= FIRST_ATTEMPT_MS;
  }

  /** Returns whether the first byte may go out now, or again after a call that sent none. */
  boolean mayDispatch() {
    if (reserved && !marked) {
      marked = ledger.markDispatched(key(), request.requestId());
    }
    return !reserved || marked;
  }

  /** Stores that the request was answered; completes at once when no rule demands it. */
  CompletableFuture<Void> finishAnswered(Attempt attempt) {
    if (!reserved) {
      return CompletableFuture.completedFuture(null);
    }
    finished = true;
    return ledger.finish(
        key(),
        outcome(LedgerResult.ANSWERED)
            .setHttpStatus(attempt.status())
            .setContentType(attempt.contentType())
            .setBody(ByteString.copyFrom(attempt.held()))
            .build());
  }

  /** Stores an outcome without an answer. */
  void finish(LedgerResult result) {
    finished = true;
    CompletableFuture<Void> unused = ledger.finish(key(), outcome(result).build());
  }

  private LedgerOutcome.Builder outcome(LedgerResult result) {
    return LedgerOutcome.newBuilder()
        .setAccount(request.account())
        .setKey(key().key())
        .setRequestId(request.requestId())
        .setResult(result);
  }

  private LedgerKey key() {
    LedgerKey key = request.key();
    if (key == null) {
      throw new IllegalStateException("request without an idempotency key");
    }
    return key;
  }

  private ByteString bodyHash() {
    byte[] hash =
        Hashing.sha256()
            .newHasher()
            .putString(request.method(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putString(request.service() + request.path(), StandardCharsets.UTF_8)
            .putByte((byte) 0)
            .putBytes(request.body().toByteArray())
            .hash()
            .asBytes();
    return ByteString.copyFrom(hash);
  }
}
