package org.currantslip.core.fleet;

import java.util.function.BiPredicate;

/** The steps of a request, each with the condition that shows that it was reached. */
enum RequestStep {
  BEFORE_SENDING((fleet, caller) -> true),
  SENT((fleet, caller) -> !caller.attempts.isEmpty()),
  INTENT_STORED((fleet, caller) -> fleet.ledgerHolds(caller.key)),
  DISPATCHED((fleet, caller) -> !fleet.endpoints.calls.isEmpty()),
  RAN((fleet, caller) -> fleet.endpoints.calls.stream().anyMatch(c -> c.ran)),
  ANSWERED((fleet, caller) -> fleet.endpoints.calls.stream().anyMatch(c -> c.answered)),
  OUTCOME_STORED((fleet, caller) -> fleet.ledgerHolds("answer to " + caller.key)),
  ANSWER_GIVEN((fleet, caller) -> caller.isAnswered());

  private final BiPredicate<Fleet, FleetCaller> reached;

  RequestStep(BiPredicate<Fleet, FleetCaller> reached) {
    this.reached = reached;
  }

  boolean isReached(Fleet fleet, FleetCaller caller) {
    return reached.test(fleet, caller);
  }

  boolean needsLedger() {
    return this == INTENT_STORED || this == OUTCOME_STORED;
  }
}
