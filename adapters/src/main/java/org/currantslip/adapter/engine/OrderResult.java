package org.currantslip.adapter.engine;

/** What became of an order. */
public enum OrderResult {
  /** The engine carried it out, now or earlier. */
  DONE,
  /** The engine has seen a higher fencing number and refused. */
  FENCED,
  /** The order had no effect. */
  NOT_DONE,
  /** The answer was lost; the order may still take effect. */
  OUTCOME_UNKNOWN
}
