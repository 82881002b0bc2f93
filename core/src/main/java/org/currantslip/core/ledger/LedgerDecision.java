package org.currantslip.core.ledger;

import org.currantslip.schema.LedgerOutcome;

/** The decision on a request that must run at most once. */
public sealed interface LedgerDecision {
  /** The intent is stored; the request may be dispatched once. */
  record Run() implements LedgerDecision {}

  /** An earlier request with this key was answered; return the stored answer. */
  record Replay(LedgerOutcome outcome) implements LedgerDecision {}
}
