package org.currantslip.core.quarantine;

/**
 * Decision on whether a request may be sent to an endpoint.
 *
 * @param retryAfterMs if it is refused, the time after which it may be admitted; otherwise zero
 */
public record Admission(Kind kind, long retryAfterMs) {
  private static final Admission SEND = new Admission(Kind.SEND, 0);
  private static final Admission SEND_AS_TRIAL = new Admission(Kind.SEND_AS_TRIAL, 0);

  /** What may be done with the request. */
  public enum Kind {
    SEND,
    /** It may be sent once, and not again if that fails. */
    SEND_AS_TRIAL,
    REFUSE
  }

  static Admission send() {
    return SEND;
  }

  static Admission sendAsTrial() {
    return SEND_AS_TRIAL;
  }

  static Admission refuse(long retryAfterMs) {
    return new Admission(Kind.REFUSE, retryAfterMs);
  }

  /** Returns whether the request must not be sent. */
  public boolean isRefused() {
    return kind == Kind.REFUSE;
  }
}
