package org.currantslip.core.ledger;

import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/** The refusals of the ledger. */
final class LedgerRefusals {
  private static final long IN_FLIGHT_RETRY_MS = 1_000;

  private LedgerRefusals() {}

  static RefusalException issuedInFuture(Ran ran) {
    return RefusalException.of(
        ResultCode.IDEMPOTENCY_KEY_MALFORMED, ran, 0, "the key's time of issue is in the future");
  }

  static RefusalException expired(Ran ran) {
    return RefusalException.of(
        ResultCode.IDEMPOTENCY_KEY_EXPIRED, ran, 0, "the key is older than the key window");
  }

  static RefusalException bodyDiffers(Ran ran) {
    return RefusalException.of(
        ResultCode.IDEMPOTENCY_KEY_BODY_DIFFERS, ran, 0, "the key was used with another request");
  }

  static RefusalException unavailable(Ran ran, long retryAfterMs) {
    return RefusalException.of(
        ResultCode.LEDGER_UNAVAILABLE, ran, retryAfterMs, "the ledger cannot be written");
  }

  static RefusalException tooMany(Ran ran, long retryAfterMs) {
    return RefusalException.of(
        ResultCode.TOO_MANY_IN_FLIGHT, ran, retryAfterMs, "too many requests with keys in flight");
  }

  static RefusalException inFlight() {
    return RefusalException.of(
        ResultCode.KEY_IN_FLIGHT,
        Ran.UNKNOWN,
        IN_FLIGHT_RETRY_MS,
        "an earlier request with this key has not ended");
  }

  static RefusalException outcomeUnknown() {
    return RefusalException.of(
        ResultCode.OUTCOME_UNKNOWN,
        Ran.UNKNOWN,
        0,
        "an earlier request with this key may have run; it will not run again");
  }
}
