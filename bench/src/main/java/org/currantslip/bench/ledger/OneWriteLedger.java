package org.currantslip.bench.ledger;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.ledger.LedgerDecision;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.schema.IntentAnswer;
import org.currantslip.schema.IntentQuery;
import org.currantslip.schema.LedgerAppend;
import org.currantslip.schema.LedgerAppendReply;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;

/** The baseline: one object a key, created for the intent and updated with the outcome. */
final class OneWriteLedger implements Ledger {
  private final ObjectStore store;
  private final Map<String, Long> versions = new HashMap<>();

  private OneWriteLedger(ObjectStore store) {
    this.store = store;
  }

  static OneWriteLedger create(ObjectStore store) {
    return new OneWriteLedger(store);
  }

  private static String name(LedgerKey key) {
    return "key/" + key.account() + "/" + key.key();
  }

  @Override
  public CompletableFuture<LedgerDecision> begin(
      LedgerKey key, ByteString bodyHash, String requestId, boolean firstAttempt) {
    LedgerIntent intent =
        LedgerIntent.newBuilder()
            .setAccount(key.account())
            .setKey(key.key())
            .setRequestId(requestId)
            .setBodyHash(bodyHash)
            .setIssuedMs(key.issuedMs())
            .build();
    return store
        .create(name(key), intent.toByteString())
        .thenApply(
            version -> {
              versions.put(requestId, version);
              return new LedgerDecision.Run();
            });
  }

  @Override
  public boolean markDispatched(LedgerKey key, String requestId) {
    return versions.containsKey(requestId);
  }

  @Override
  public CompletableFuture<Void> finish(LedgerKey key, LedgerOutcome outcome) {
    Long version = versions.remove(outcome.getRequestId());
    if (version == null) {
      throw new IllegalArgumentException(outcome.getRequestId());
    }
    return store.update(name(key), outcome.toByteString(), version).thenAccept(v -> {});
  }

  @Override
  public IntentAnswer answerIntentQuery(IntentQuery query) {
    throw new UnsupportedOperationException("answer");
  }

  @Override
  public CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append) {
    throw new UnsupportedOperationException("onAppend");
  }

  @Override
  public void tick() {}
}
