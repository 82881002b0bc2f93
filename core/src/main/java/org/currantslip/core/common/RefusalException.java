package org.currantslip.core.common;

/** A request that is refused, with what its caller needs to know. */
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

  /** Returns a refusal of a request that did not run; coming back does not help. */
  public static RefusalException notRun(ResultCode code, String detail) {
    return new RefusalException(code, Ran.NO, 0, detail);
  }

  /** Returns a refusal of a request that did not run and may come back after a while. */
  public static RefusalException notRunRetry(ResultCode code, long retryAfterMs, String detail) {
    return new RefusalException(code, Ran.NO, retryAfterMs, detail);
  }

  /** Returns a refusal with an explicit {@code ran}; a zero {@code retryAfterMs} means never. */
  public static RefusalException of(ResultCode code, Ran ran, long retryAfterMs, String detail) {
    return new RefusalException(code, ran, retryAfterMs, detail);
  }

  /** Returns the numbered reason. */
  public ResultCode code() {
    return code;
  }

  /** Returns whether the request ran. */
  public Ran ran() {
    return ran;
  }

  /** Returns after how many milliseconds to come back, or zero if that does not help. */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /** Returns the explanation in words. */
  public String detail() {
    String text = getMessage();
    return text == null ? "" : text;
  }
}
