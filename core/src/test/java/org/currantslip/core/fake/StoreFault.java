package org.currantslip.core.fake;

/** What goes wrong with one call to the fake store. */
public enum StoreFault {
  /** Nothing. */
  NONE,
  /** The call fails without effect. */
  NOT_DONE,
  /** The call takes effect and its answer is lost. */
  LOST_ANSWER,
  /** The answer is lost and the call never took effect. */
  LOST_CALL,
  /** The answer is lost and the call takes effect much later. */
  LATE_EFFECT,
  /** The call takes effect but its answer comes late. */
  SLOW,
  /** Another writer gets in first: the condition does not hold. */
  CONFLICT,
  /** No answer ever comes and the call has no effect. */
  SILENT
}
