package org.currantslip.core.request;

/** Reason why a request is not sent to another endpoint. */
enum RetryObstacle {
  NONE,
  CALLER_GONE,
  TIME,
  NOT_REPEATABLE,
  ATTEMPTS,
  DECLINES,
  BUDGET,
  QUARANTINE,
  NO_ENDPOINT
}
