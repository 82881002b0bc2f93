package org.currantslip.core.request;

/** Reason why a call to an endpoint failed. */
public enum CallFailure {
  /** No byte of the request was sent. */
  NOT_SENT,
  /** The deadline passed before a byte of the request was sent; tells nothing of the endpoint. */
  EXPIRED,
  /** The connection broke after bytes were sent. */
  BROKEN,
  /** The response ended before it was complete. */
  TRUNCATED,
  /** The response exceeded the size limit or could not be parsed. */
  MALFORMED
}
