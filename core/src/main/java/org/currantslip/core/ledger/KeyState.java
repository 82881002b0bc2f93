package org.currantslip.core.ledger;

import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.LedgerVerdictStatus;
import org.jspecify.annotations.Nullable;

/**
 * The state of a key, given by its last record in the log.
 *
 * @param intent the current intent
 * @param outcome the outcome of the intent, or null while the intent is open
 * @param sequence sequence number of the segment that holds the last record
 */
record KeyState(LedgerIntent intent, @Nullable LedgerOutcome outcome, long sequence) {
  static KeyState of(LedgerIntent intent, long sequence) {
    return new KeyState(intent, null, sequence);
  }

  static KeyState of(LedgerOutcome outcome, long sequence) {
    return new KeyState(outcome.getIntent(), outcome, sequence);
  }

  String requestId() {
    return intent.getRequestId();
  }

  /** Returns the result, or unspecified while the intent is open. */
  LedgerResult result() {
    return outcome == null ? LedgerResult.LEDGER_RESULT_UNSPECIFIED : outcome.getResult();
  }

  boolean isOpen() {
    return outcome == null;
  }

  int sizeBytes() {
    return outcome == null ? intent.getSerializedSize() : outcome.getSerializedSize();
  }

  LedgerVerdict toVerdict(LedgerVerdictStatus status) {
    LedgerVerdict.Builder verdict = LedgerVerdict.newBuilder().setStatus(status);
    return outcome == null
        ? verdict.setIntent(intent).build()
        : verdict.setOutcome(outcome).build();
  }

  /** Returns the key state carried by a verdict. */
  static KeyState fromVerdict(LedgerVerdict verdict) {
    return verdict.hasOutcome() ? of(verdict.getOutcome(), 0) : of(verdict.getIntent(), 0);
  }
}
