package org.currantslip.core.common;

/** Whether a request was executed by an endpoint. */
public enum Ran {
  /** The request was not executed and will not be unless it is sent again. */
  NO("no"),
  /** The request was executed. */
  YES("yes"),
  /** The request, or an earlier one with the same idempotency key, may have been executed. */
  UNKNOWN("unknown");

  private final String text;

  Ran(String text) {
    this.text = text;
  }

  /** Returns the text form used in responses. */
  public String text() {
    return text;
  }
}
