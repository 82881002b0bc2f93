package org.currantslip.core.request;

import java.util.concurrent.CompletionException;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/** Builds refusals and spreads their times to come back. */
final class Refusals {
  private static final long RETRY_MS = 1_000;

  private Refusals() {}

  /** Returns the refusal within a failure; any other failure is an internal error. */
  static RefusalException of(Throwable failure) {
    Throwable t = failure;
    while (t instanceof CompletionException && t.getCause() != null) {
      t = t.getCause();
    }
    if (t instanceof RefusalException e) {
      return e;
    }
    return RefusalException.of(
        ResultCode.INTERNAL, Ran.UNKNOWN, RETRY_MS, String.valueOf(t.getMessage()));
  }

  /** Returns a refusal whose time to come back differs from request to request. */
  static RefusalException comeBack(ResultCode code, Ran ran, RouterRequest r, String detail) {
    long spread = Math.floorMod(r.requestId().hashCode(), RETRY_MS);
    return RefusalException.of(code, ran, RETRY_MS + spread, detail);
  }

  /**
   * Returns the refusal with what was found out about the request. An unknown outcome may still
   * become known, and a new deadline may be met, so that both get a time to come back.
   */
  static RefusalException complete(RefusalException e, Ran ran, RouterRequest r) {
    boolean mayChange =
        e.code() == ResultCode.OUTCOME_UNKNOWN || e.code() == ResultCode.DEADLINE_PASSED;
    return e.retryAfterMs() == 0 && mayChange
        ? comeBack(e.code(), ran, r, e.detail())
        : RefusalException.of(e.code(), ran, e.retryAfterMs(), e.detail());
  }

  /** Returns the code that tells a caller of this fault. */
  static ResultCode codeOf(Attempt.Fault fault) {
    return switch (fault) {
      case NOT_SENT, NOT_RUN, BROKEN, ERROR_STATUS -> ResultCode.ENDPOINT_FAILED;
      case SILENT -> ResultCode.ENDPOINT_SILENT;
      case CROSSED -> ResultCode.ANSWER_CROSSED;
      case TRUNCATED -> ResultCode.ANSWER_TRUNCATED;
      case TOO_LARGE -> ResultCode.ANSWER_TOO_LARGE;
    };
  }
}
