package org.currantslip.core.limits;

/** Permission to run one request, released exactly once. */
public interface Permit {
  /**
   * Releases the permit.
   *
   * @param usedTokens tokens actually used, zero if the request did not run
   */
  void release(long usedTokens);
}
