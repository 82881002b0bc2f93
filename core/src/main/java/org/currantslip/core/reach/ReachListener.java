package org.currantslip.core.reach;

/** Receives changes of a node's path to endpoints. */
public interface ReachListener {
  /**
   * Called when the state changes.
   *
   * @param sinceMs start of the first failed or silent call that led to the state
   */
  void onChange(PathState from, PathState to, long sinceMs);
}
