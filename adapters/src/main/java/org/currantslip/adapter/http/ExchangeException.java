package org.currantslip.adapter.http;

/** Thrown when an HTTP exchange ends without a complete response. */
public final class ExchangeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean mayHaveBeenSent;

  private ExchangeException(boolean sent, String detail) {
    super(detail, null, false, false);
    this.mayHaveBeenSent = sent;
  }

  /**
   * Returns an exception; {@code mayHaveBeenSent} tells whether any byte of the request may have
   * been sent.
   */
  public static ExchangeException of(boolean sent, String detail) {
    return new ExchangeException(sent, detail);
  }

  /** Returns whether any byte of the request may have been sent. */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /** Returns a description of the failure. */
  public String detail() {
    String text = getMessage();
    return text == null ? "" : text;
  }
}
