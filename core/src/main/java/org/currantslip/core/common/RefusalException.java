package org.currantslip.core.common;

/** Thrown when a request is refused; carries the information returned to the caller. */
public final class RefusalException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;
  private final Ran ran;
  private final long retryAfterMs;

  private RefusalException(ResultCode code, Ran ran, long retryAfterMs, String detail) {
    super(detail, null, false, false);
    this.code = code;
    this.ran = ran;
    this.retryAfterMs = retryAfterMs;
  }

  /** Returns a refusal of a request that did not run; a retry cannot succeed. */
  public static RefusalException notRun(ResultCode code, String detail) {
    return new RefusalException(code, Ran.NO, 0, detail);
  }

  /** Returns a refusal of a request that did not run and may be retried after a delay. */
  public static RefusalException notRunRetryable(
      ResultCode code, long retryAfterMs, String detail) {
    return new RefusalException(code, Ran.NO, retryAfterMs, detail);
  }

  /** Returns a refusal with an explicit {@code ran}; a zero {@code retryAfterMs} means no retry. */
  public static RefusalException of(ResultCode code, Ran ran, long retryAfterMs, String detail) {
    return new RefusalException(code, ran, retryAfterMs, detail);
  }

  /** Returns the result code. */
  public ResultCode code() {
    return code;
  }

  /** Returns whether the request was executed. */
  public Ran ran() {
    return ran;
  }

  /** Returns the retry delay in milliseconds, or zero if a retry cannot succeed. */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /** Returns the detail message, or an empty string. */
  public String detail() {
    String text = getMessage();
    return text == null ? "" : text;
  }
}
