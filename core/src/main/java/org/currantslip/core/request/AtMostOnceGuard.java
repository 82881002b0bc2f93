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

/** Tracks the ledger reservation of a single request and its idempotency key. */
final class AtMostOnceGuard {
  /**
   * Age of a key up to which a request flagged as its first attempt is taken to be the only one.
   */
  private static final long FIRST_ATTEMPT_WINDOW_MS = 5_000;

  private final Ledger ledger;
  private final Clock clock;
  private final RouterRequest request;
  private boolean required;
  private boolean reserved;
  private boolean finished;
  private boolean markedDispatched;

  private AtMostOnceGuard(Ledger ledger, Clock clock, RouterRequest request) {
    this.ledger = ledger;
    this.clock = clock;
    this.request = request;
  }

  static AtMostOnceGuard create(Ledger ledger, Clock clock, RouterRequest request) {
    return new AtMostOnceGuard(ledger, clock, request);
  }

  /** Sets whether a rule requires at-most-once execution of the request. */
  void setRequired(boolean required) {
    this.required = required;
  }

  boolean isRequired() {
    return required;
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

  /** Records that the ledger has stored the intent. */
  void onReserved() {
    reserved = true;
  }

  /**
   * Returns whether another request with this key may have run or may still run. The ledger cannot
   * rule that out: an earlier request may be held up on a stalled node that has not stored its
   * intent yet.
   */
  boolean mayHaveOtherAttempt() {
    return request.idempotencyKey() != null && !isFirstAttempt();
  }

  /**
   * Ignores the caller's first-attempt flag once the key is old, because the caller may have sent
   * the key to another node in the meantime.
   */
  private boolean isFirstAttempt() {
    return request.firstAttempt() && clock.nowMs() - key().issuedMs() <= FIRST_ATTEMPT_WINDOW_MS;
  }

  /**
   * Returns whether the request may be dispatched, also after a call that sent no bytes. Marks a
   * reserved request as dispatched in the ledger if it is not marked yet.
   */
  boolean mayDispatch() {
    if (reserved && !markedDispatched) {
      markedDispatched = ledger.markDispatched(key(), request.requestId());
    }
    return !reserved || markedDispatched;
  }

  /**
   * Stores the response in the ledger; completes immediately if the request holds no reservation.
   */
  CompletableFuture<Void> finishWithResponse(Attempt attempt) {
    if (!reserved) {
      return CompletableFuture.completedFuture(null);
    }
    finished = true;
    return ledger.finish(
        key(),
        outcome(LedgerResult.ANSWERED)
            .setHttpStatus(attempt.status())
            .setContentType(attempt.contentType())
            .setBody(ByteString.copyFrom(attempt.bufferedData()))
            .build());
  }

  /** Stores an outcome that has no response. */
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
    LedgerKey key = request.idempotencyKey();
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
