package org.currantslip.adapter.http;

/** Thrown when an HTTP exchange ends without a complete response. */
public final class HttpExchangeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  private HttpExchangeException(boolean sent, String detail) {
    super(detail, null, false, false);
    this.sent = sent;
  }

  /**
   * Returns an exception; {@code sent} tells whether any byte of the request may have been sent.
   */
  public static HttpExchangeException of(boolean sent, String detail) {
    return new HttpExchangeException(sent, detail);
  }

  /** Returns whether any byte of the request may have been sent. */
  public boolean sent() {
    return sent;
  }

  /** Returns a description of the failure. */
  public String detail() {
    String text = getMessage();
    return text == null ? "" : text;
  }
}
