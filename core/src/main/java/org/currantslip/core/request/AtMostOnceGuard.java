package org.currantslip.core.request;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.ledger.LedgerDecision;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;

/** One request's side of the ledger: what it has reserved, and what it may say of its key. */
final class AtMostOnceGuard {
  private final Ledger ledger;
  private final RouterRequest request;
  private boolean demanded;
  private boolean reserved;
  private boolean consulted;
  private boolean finished;

  private AtMostOnceGuard(Ledger ledger, RouterRequest request) {
    this.ledger = ledger;
    this.request = request;
  }

  static AtMostOnceGuard create(Ledger ledger, RouterRequest request) {
    return new AtMostOnceGuard(ledger, request);
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
    return ledger.begin(key(), bodyHash(), request.requestId(), request.firstAttempt());
  }

  /** The intent is stored. */
  void reserved() {
    reserved = true;
    consulted = true;
  }

  /** The ledger refused; unless it could not be read, its word on the key stands. */
  void consulted(ResultCode code) {
    consulted = code != ResultCode.LEDGER_UNAVAILABLE;
  }

  /**
   * Returns whether an earlier request with this key may have run, as far as is known without the
   * ledger.
   */
  boolean mayHaveRunBefore() {
    return request.key() != null && !consulted && !request.firstAttempt();
  }

  /** Returns whether the first byte may go out now. */
  boolean mayDispatch() {
    return !reserved || ledger.markDispatched(key(), request.requestId());
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
