package org.currantslip.core.request;

/** Reason why a call to an endpoint failed. */
public enum CallFailure {
  /** No byte of the request was sent. */
  NOT_SENT,
  /** Nobody waited for the request any more when it was to be sent; no byte of it was sent. */
  WITHDRAWN,
  /** The connection broke after bytes were sent. */
  BROKEN,
  /** The response ended before it was complete. */
  TRUNCATED,
  /** The response exceeded the size limit or could not be parsed. */
  MALFORMED
}
