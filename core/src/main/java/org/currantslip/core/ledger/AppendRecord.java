package org.currantslip.core.ledger;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.LedgerVerdictStatus;
import org.jspecify.annotations.Nullable;

/** An intent or an outcome queued to be appended to the log of its slot. */
final class AppendRecord {
  private final LedgerIntent intent;
  private final @Nullable LedgerOutcome outcome;
  private final long expiresMs;
  private final CompletableFuture<LedgerVerdict> verdict = new CompletableFuture<>();
  private final Set<Long> partsWithoutKey = new HashSet<>();
  private boolean checkedAfterReload;

  private AppendRecord(LedgerIntent intent, @Nullable LedgerOutcome outcome, long expiresMs) {
    this.intent = intent;
    this.outcome = outcome;
    this.expiresMs = expiresMs;
  }

  static AppendRecord of(LedgerIntent intent, long expiresMs) {
    return new AppendRecord(intent, null, expiresMs);
  }

  /** Returns a record for an outcome; the outcome must include its intent. */
  static AppendRecord of(LedgerOutcome outcome, long expiresMs) {
    return new AppendRecord(outcome.getIntent(), outcome, expiresMs);
  }

  LedgerIntent intent() {
    return intent;
  }

  @Nullable LedgerOutcome outcome() {
    return outcome;
  }

  String key() {
    return LedgerNames.keyOf(intent);
  }

  int slot() {
    return LedgerNames.slotOf(intent);
  }

  long expiresMs() {
    return expiresMs;
  }

  int sizeBytes() {
    return outcome == null ? intent.getSerializedSize() : outcome.getSerializedSize();
  }

  CompletableFuture<LedgerVerdict> verdict() {
    return verdict;
  }

  /** Returns whether the slot was read from the store after this record was queued. */
  boolean isCheckedAfterReload() {
    return checkedAfterReload;
  }

  void markCheckedAfterReload() {
    checkedAfterReload = true;
  }

  boolean isAbsentFrom(long throughSequence) {
    return partsWithoutKey.contains(throughSequence);
  }

  void markAbsentFrom(long throughSequence) {
    partsWithoutKey.add(throughSequence);
  }

  void complete(LedgerVerdict result) {
    verdict.complete(result);
  }

  void fail() {
    verdict.complete(
        LedgerVerdict.newBuilder().setStatus(LedgerVerdictStatus.LEDGER_UNAVAILABLE).build());
  }
}
