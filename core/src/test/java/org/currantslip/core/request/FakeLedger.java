package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.ledger.LedgerDecision;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.schema.IntentAnswer;
import org.currantslip.schema.IntentQuery;
import org.currantslip.schema.LedgerAppend;
import org.currantslip.schema.LedgerAppendReply;
import org.currantslip.schema.LedgerOutcome;

/** A ledger whose decisions are set by the test. */
final class FakeLedger implements Ledger {
  final List<LedgerOutcome> outcomes = new ArrayList<>();
  CompletableFuture<LedgerDecision> decision =
      CompletableFuture.completedFuture(new LedgerDecision.Run());
  CompletableFuture<Void> stored = CompletableFuture.completedFuture(null);
  boolean mayDispatch = true;

  @Override
  public CompletableFuture<LedgerDecision> begin(
      LedgerKey key, ByteString bodyHash, String requestId, boolean firstAttempt) {
    return decision;
  }

  @Override
  public boolean markDispatched(LedgerKey key, String requestId) {
    return mayDispatch;
  }

  @Override
  public CompletableFuture<Void> finish(LedgerKey key, LedgerOutcome outcome) {
    outcomes.add(outcome);
    return stored;
  }

  @Override
  public IntentAnswer answerIntentQuery(IntentQuery query) {
    return IntentAnswer.getDefaultInstance();
  }

  @Override
  public CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append) {
    return CompletableFuture.completedFuture(LedgerAppendReply.getDefaultInstance());
  }

  @Override
  public void tick() {}
}
