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

/**
 * Baseline ledger: one store object per key, created for the intent and updated with the outcome.
 */
final class ObjectPerKeyLedger implements Ledger {
  private final ObjectStore store;
  private final Map<String, Long> versionsByRequest = new HashMap<>();

  private ObjectPerKeyLedger(ObjectStore store) {
    this.store = store;
  }

  static ObjectPerKeyLedger create(ObjectStore store) {
    return new ObjectPerKeyLedger(store);
  }

  private static String objectName(LedgerKey key) {
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
        .create(objectName(key), intent.toByteString())
        .thenApply(
            version -> {
              versionsByRequest.put(requestId, version);
              return new LedgerDecision.Run();
            });
  }

  @Override
  public boolean markDispatched(LedgerKey key, String requestId) {
    return versionsByRequest.containsKey(requestId);
  }

  @Override
  public CompletableFuture<Void> finish(LedgerKey key, LedgerOutcome outcome) {
    Long version = versionsByRequest.remove(outcome.getRequestId());
    if (version == null) {
      throw new IllegalArgumentException(outcome.getRequestId());
    }
    return store
        .update(objectName(key), outcome.toByteString(), version)
        .thenAccept(updatedVersion -> {});
  }

  @Override
  public IntentAnswer answerIntentQuery(IntentQuery query) {
    throw new UnsupportedOperationException("the baseline ledger answers no intent queries");
  }

  @Override
  public CompletableFuture<LedgerAppendReply> onAppend(LedgerAppend append) {
    throw new UnsupportedOperationException("the baseline ledger accepts no appends from peers");
  }

  @Override
  public void tick() {}
}
