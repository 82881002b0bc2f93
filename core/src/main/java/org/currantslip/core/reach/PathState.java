package org.currantslip.core.reach;

/** State of a node's path to endpoints. */
public enum PathState {
  /** Endpoints answer, or nothing is known. */
  REACHING,
  /** Calls to several endpoints fail or are silent. */
  SUSPECTED,
  /** No endpoint is reached, while peers reach the same services. */
  CUT,
  /** Endpoints answer again, and get a growing number of calls. */
  RETURNING;

  /** Returns whether other nodes should not direct callers to this node. */
  public boolean isUnreachable() {
    return this == CUT || this == RETURNING;
  }
}
