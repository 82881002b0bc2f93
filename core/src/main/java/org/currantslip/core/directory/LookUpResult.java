package org.currantslip.core.directory;

/** Result of a look-up; all but {@link #ANSWERED} and {@link #SLOW} name no node. */
public enum LookUpResult {
  ANSWERED,
  /** The answer took so long that its caller may have given up. */
  SLOW,
  /** This node does not serve yet and knows no other node. */
  FLEET_UNKNOWN,
  /** This node knows other nodes, none of which serves. */
  NONE_SERVING
}
