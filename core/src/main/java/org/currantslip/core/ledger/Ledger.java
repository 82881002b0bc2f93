package org.currantslip.core.ledger;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.IntentAnswer;
import org.currantslip.schema.IntentQuery;
import org.currantslip.schema.LedgerAppend;
import org.currantslip.schema.LedgerAppendReply;
import org.currantslip.schema.LedgerOutcome;

/** Enforces at-most-once execution of requests that carry an idempotency key. */
public interface Ledger {
  /**
   * Decides whether a request may run. The future completes with a decision or fails with {@link
   * org.currantslip.core.common.RefusalException}. After {@link LedgerDecision.Run} the caller must
   * call {@link #finish} exactly once, even if nothing was dispatched.
   *
   * @param bodyHash hash of method, path and body; reusing a key with a different hash is refused
   * @param firstAttempt whether the caller asserts that no earlier request with this key can still
   *     run; if false, a refusal never reports that the request did not run
   */
  CompletableFuture<LedgerDecision> begin(
      LedgerKey key, ByteString bodyHash, String requestId, boolean firstAttempt);

  /**
   * Marks the request as dispatched; called before the first byte is sent to the endpoint. Returns
   * false if the request may no longer be dispatched; the caller must then finish it as not
   * dispatched.
   */
  boolean markDispatched(LedgerKey key, String requestId);

  /** Stores the outcome of a request; the future completes once the outcome is stored. */
  CompletableFuture<Void> finish(LedgerKey key, LedgerOutcome outcome);

  /** Answers another node's query about the fate of an intent written by this node. */
  IntentAnswer answerIntentQuery(IntentQuery query);

  /** Appends records forwarded by another node. The future always completes normally. */
  CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append);

  /** Sends due batches and expires overdue requests; called every few milliseconds. */
  void tick();
}
