package org.currantslip.core.ledger;

import java.util.Optional;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;

/**
 * Decides which records may follow the present state of their key.
 *
 * <p>A writer judges a record against the log up to segment n and stores it as segment n + 1 by a
 * conditional create, so that every record in the log was allowed where it stands.
 */
final class AppendRules {
  enum Judgement {
    /** The record may be appended. */
    APPEND,
    /** This very record is in the log already. */
    PRESENT,
    /** The present state of the key stands against the record. */
    REJECT
  }

  private AppendRules() {}

  static Judgement judge(AppendRecord rec, Optional<KeyState> present) {
    if (present.isEmpty()) {
      return Judgement.APPEND;
    }
    LedgerOutcome outcome = rec.outcome();
    return outcome == null
        ? judgeIntent(rec.intent(), present.get())
        : judgeOutcome(outcome, present.get());
  }

  private static Judgement judgeIntent(LedgerIntent intent, KeyState present) {
    if (intent.getRequestId().equals(present.requestId())) {
      return present.isOpen() ? Judgement.PRESENT : Judgement.REJECT;
    }
    if (!intent.getBodyHash().equals(present.intent().getBodyHash())) {
      return Judgement.REJECT;
    }
    boolean released =
        present.isOpen()
            ? intent.getSupersedes().equals(present.requestId())
            : present.result() == LedgerResult.NOT_DISPATCHED;
    return released ? Judgement.APPEND : Judgement.REJECT;
  }

  private static Judgement judgeOutcome(LedgerOutcome outcome, KeyState present) {
    if (!outcome.getIntent().getRequestId().equals(present.requestId())) {
      return Judgement.REJECT;
    }
    boolean replaces =
        present.isOpen()
            || (present.result() == LedgerResult.UNKNOWN
                && outcome.getResult() == LedgerResult.ANSWERED);
    return replaces ? Judgement.APPEND : Judgement.REJECT;
  }
}
