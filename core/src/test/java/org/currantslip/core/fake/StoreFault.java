package org.currantslip.core.fake;

/** The fault applied to one call to the fake store. */
public enum StoreFault {
  /** No fault. */
  NONE,
  /** The call fails without effect. */
  NOT_DONE,
  /** The call takes effect but its answer is lost. */
  LOST_ANSWER,
  /** The call is lost: it has no effect and its outcome is unknown to the caller. */
  LOST_CALL,
  /** The answer is lost and the call takes effect after a long delay. */
  LATE_EFFECT,
  /** The call takes effect but its answer is delayed. */
  SLOW,
  /** The call fails as if its condition did not hold because of a concurrent write. */
  CONFLICT,
  /** The call has no effect and is never answered. */
  SILENT
}
