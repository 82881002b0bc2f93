package org.currantslip.core.ledger;

import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/** Creates the exceptions with which the ledger refuses requests. */
final class LedgerRefusals {
  private static final long IN_FLIGHT_RETRY_MS = 1_000;

  private LedgerRefusals() {}

  static RefusalException issuedInFuture(Ran ran) {
    return RefusalException.of(
        ResultCode.IDEMPOTENCY_KEY_MALFORMED,
        ran,
        0,
        "the issue time of the idempotency key is in the future");
  }

  static RefusalException expired(Ran ran) {
    return RefusalException.of(
        ResultCode.IDEMPOTENCY_KEY_EXPIRED,
        ran,
        0,
        "the idempotency key is older than the key window");
  }

  static RefusalException bodyDiffers(Ran ran) {
    return RefusalException.of(
        ResultCode.IDEMPOTENCY_KEY_BODY_DIFFERS,
        ran,
        0,
        "the idempotency key was used with a different request");
  }

  static RefusalException unavailable(Ran ran, long retryAfterMs) {
    return RefusalException.of(
        ResultCode.LEDGER_UNAVAILABLE, ran, retryAfterMs, "the ledger is not writable");
  }

  static RefusalException tooMany(Ran ran, long retryAfterMs) {
    return RefusalException.of(
        ResultCode.TOO_MANY_IN_FLIGHT,
        ran,
        retryAfterMs,
        "too many requests with idempotency keys in flight");
  }

  static RefusalException inFlight() {
    return RefusalException.of(
        ResultCode.KEY_IN_FLIGHT,
        Ran.UNKNOWN,
        IN_FLIGHT_RETRY_MS,
        "an earlier request with this idempotency key is still in flight");
  }

  static RefusalException outcomeUnknown() {
    return RefusalException.of(
        ResultCode.OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
        0,
        "an earlier request with this idempotency key may have run; it is not run again");
  }
}
