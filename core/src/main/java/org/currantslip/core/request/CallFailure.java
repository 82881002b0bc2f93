package org.currantslip.core.request;

/** How a call to an endpoint failed. */
public enum CallFailure {
  /** No byte of the request was sent. */
  NOT_SENT,
  /** The connection broke after bytes were sent. */
  BROKEN,
  /** The answer ended before it was complete. */
  TRUNCATED,
  /** The answer was larger than accepted, or not of the expected form. */
  MALFORMED
}
