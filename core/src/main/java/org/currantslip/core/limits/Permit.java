package org.currantslip.core.limits;

/** Permission to run one request; released exactly once. */
public interface Permit {
  /**
   * Gives the permit back.
   *
   * @param usedTokens tokens really used, zero when nothing ran
   */
  void release(long usedTokens);
}
