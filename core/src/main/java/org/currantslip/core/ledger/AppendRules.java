package org.currantslip.core.ledger;

import java.util.Optional;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;

/**
 * Decides whether a record may be appended, given the current state of its key.
 *
 * <p>A writer evaluates a record against the log up to segment n and stores it in segment n + 1
 * with a conditional create. Every record in the log was therefore valid at its position.
 */
final class AppendRules {
  enum Decision {
    /** The record may be appended. */
    APPEND,
    /** The log already contains this record. */
    PRESENT,
    /** The current state of the key does not allow the record. */
    REJECT
  }

  private AppendRules() {}

  static Decision evaluate(AppendRecord rec, Optional<KeyState> current) {
    if (current.isEmpty()) {
      return Decision.APPEND;
    }
    LedgerOutcome outcome = rec.outcome();
    return outcome == null
        ? evaluateIntent(rec.intent(), current.get())
        : evaluateOutcome(outcome, current.get());
  }

  private static Decision evaluateIntent(LedgerIntent intent, KeyState current) {
    if (intent.getRequestId().equals(current.requestId())) {
      return current.isOpen() ? Decision.PRESENT : Decision.REJECT;
    }
    if (!intent.getBodyHash().equals(current.intent().getBodyHash())) {
      return Decision.REJECT;
    }
    boolean keyAvailable =
        current.isOpen()
            ? intent.getSupersedes().equals(current.requestId())
            : current.result() == LedgerResult.NOT_DISPATCHED;
    return keyAvailable ? Decision.APPEND : Decision.REJECT;
  }

  private static Decision evaluateOutcome(LedgerOutcome outcome, KeyState current) {
    if (!outcome.getIntent().getRequestId().equals(current.requestId())) {
      return Decision.REJECT;
    }
    boolean replaces =
        current.isOpen()
            || (current.result() == LedgerResult.UNKNOWN
                && outcome.getResult() == LedgerResult.ANSWERED);
    return replaces ? Decision.APPEND : Decision.REJECT;
  }
}
