package org.currantslip.core.common;

/** Whether a request reached an endpoint and ran there. */
public enum Ran {
  /** The request did not run and will not run unless it is sent again. */
  NO("no"),
  /** The request ran. */
  YES("yes"),
  /** The request, or an earlier one with the same idempotency key, may have run. */
  UNKNOWN("unknown");

  private final String text;

  Ran(String text) {
    this.text = text;
  }

  /** Returns the word used in answers. */
  public String text() {
    return text;
  }
}
