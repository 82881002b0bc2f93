package org.currantslip.core.ledger;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.IntentAnswer;
import org.currantslip.schema.IntentQuery;
import org.currantslip.schema.LedgerAppend;
import org.currantslip.schema.LedgerAppendReply;
import org.currantslip.schema.LedgerOutcome;

/** Decides whether a request that must run at most once may run. */
public interface Ledger {
  /**
   * Decides on a request. The future completes with a decision, or fails with {@link
   * org.currantslip.core.common.RefusalException}. After {@link LedgerDecision.Run} exactly one of
   * {@link #finish} must follow, also when nothing was dispatched.
   *
   * @param bodyHash hash of method, path and body; the same key with another hash is refused
   * @param firstAttempt whether the caller says that no earlier request with this key can still
   *     run; without it a refusal never claims that the key did not run
   */
  CompletableFuture<LedgerDecision> begin(
      LedgerKey key, ByteString bodyHash, String requestId, boolean firstAttempt);

  /**
   * Marks that the first byte is about to go to the endpoint. Returns false when the request may
   * not be dispatched any more; the caller must then finish it as not dispatched.
   */
  boolean markDispatched(LedgerKey key, String requestId);

  /** Stores what became of a request; the future completes when it is stored. */
  CompletableFuture<Void> finish(LedgerKey key, LedgerOutcome outcome);

  /** Answers another node that asks what became of an intent of this node. */
  IntentAnswer answer(IntentQuery query);

  /** Stores the records of another node; the future always completes normally. */
  CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append);

  /** Sends due batches and settles overdue ones; called every few milliseconds. */
  void tick();
}
