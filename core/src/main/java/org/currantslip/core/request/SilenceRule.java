package org.currantslip.core.request;

/** Rule by which the silence of an endpoint ended a call. */
enum SilenceRule {
  /** No byte of the response arrived in time. */
  FIRST_BYTE,
  /** The response paused for too long. */
  IDLE,
  /** The response paused while other requests could not connect to the endpoint. */
  UNREACHABLE,
  /** The call was silent while this node reached no endpoint. */
  NO_PATH,
  DEADLINE
}
