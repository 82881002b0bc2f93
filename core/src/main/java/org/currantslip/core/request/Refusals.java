package org.currantslip.core.request;

import java.util.concurrent.CompletionException;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/** Builds refusals with jittered retry delays. */
final class Refusals {
  private static final long BASE_RETRY_AFTER_MS = 1_000;

  /** Short, as other nodes can serve the request. */
  private static final long LEAVING_RETRY_AFTER_MS = 200;

  private Refusals() {}

  /** Returns the refusal of a request that was not begun before the node stops. */
  static RefusalException nodeLeaving() {
    return RefusalException.notRunRetryable(
        ResultCode.NODE_LEAVING, LEAVING_RETRY_AFTER_MS, "the node is shutting down");
  }

  /** Unwraps a refusal from a failure; any other failure becomes an internal error. */
  static RefusalException of(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof RefusalException e) {
      return e;
    }
    return RefusalException.of(
        ResultCode.INTERNAL, Ran.UNKNOWN, BASE_RETRY_AFTER_MS, String.valueOf(cause.getMessage()));
  }

  /** Returns a refusal with a retry delay that is jittered by request id. */
  static RefusalException retryable(ResultCode code, Ran ran, RouterRequest r, String detail) {
    long jitterMs = Math.floorMod(r.requestId().hashCode(), BASE_RETRY_AFTER_MS);
    return RefusalException.of(code, ran, BASE_RETRY_AFTER_MS + jitterMs, detail);
  }

  /**
   * Returns the refusal with the given execution state. An unknown outcome may still become known
   * and a new deadline may be met, so both are given a retry delay.
   */
  static RefusalException withRan(RefusalException e, Ran ran, RouterRequest r) {
    boolean mayResolve =
        e.code() == ResultCode.OUTCOME_UNKNOWN || e.code() == ResultCode.DEADLINE_PASSED;
    return e.retryAfterMs() == 0 && mayResolve
        ? retryable(e.code(), ran, r, e.detail())
        : RefusalException.of(e.code(), ran, e.retryAfterMs(), e.detail());
  }

  /** Returns the result code for an endpoint fault. */
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
