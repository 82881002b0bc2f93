package org.currantslip.core.ledger;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerVerdict;
import org.currantslip.schema.LedgerVerdictStatus;
import org.jspecify.annotations.Nullable;

/** An intent or an outcome that waits to be appended to its slot. */
final class AppendRecord {
  private final LedgerIntent intent;
  private final @Nullable LedgerOutcome outcome;
  private final long expiresMs;
  private final CompletableFuture<LedgerVerdict> verdict = new CompletableFuture<>();
  private final Set<Long> ruledOut = new HashSet<>();
  private boolean judgedFresh;

  private AppendRecord(LedgerIntent intent, @Nullable LedgerOutcome outcome, long expiresMs) {
    this.intent = intent;
    this.outcome = outcome;
    this.expiresMs = expiresMs;
  }

  static AppendRecord of(LedgerIntent intent, long expiresMs) {
    return new AppendRecord(intent, null, expiresMs);
  }

  /** Returns a record of an outcome, which must carry its intent. */
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

  /** Returns whether the slot was read again since this record arrived. */
  boolean isJudgedFresh() {
    return judgedFresh;
  }

  void markJudgedFresh() {
    judgedFresh = true;
  }

  boolean isRuledOut(long part) {
    return ruledOut.contains(part);
  }

  void ruleOut(long part) {
    ruledOut.add(part);
  }

  void complete(LedgerVerdict result) {
    verdict.complete(result);
  }

  void fail() {
    verdict.complete(
        LedgerVerdict.newBuilder().setStatus(LedgerVerdictStatus.LEDGER_UNAVAILABLE).build());
  }
}
