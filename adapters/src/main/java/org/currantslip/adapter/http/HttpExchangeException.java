package org.currantslip.adapter.http;

/** An exchange that ended without a complete answer. */
public final class HttpExchangeException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  private HttpExchangeException(boolean sent, String detail) {
    super(detail, null, false, false);
    this.sent = sent;
  }

  /** Returns a failure; {@code sent} tells whether a byte of the request may have left. */
  public static HttpExchangeException of(boolean sent, String detail) {
    return new HttpExchangeException(sent, detail);
  }

  /** Returns whether a byte of the request may have left. */
  public boolean sent() {
    return sent;
  }

  /** Returns what happened. */
  public String detail() {
    String text = getMessage();
    return text == null ? "" : text;
  }
}
