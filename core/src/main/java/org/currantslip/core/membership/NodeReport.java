package org.currantslip.core.membership;

import org.currantslip.schema.NodeCapacity;

/**
 * What a node reports of itself in its heartbeats.
 *
 * @param capacity what it can carry and carries; the default instance if it does not say
 * @param endpointsUnreachable whether it cannot reach any endpoint
 */
public record NodeReport(NodeCapacity capacity, boolean endpointsUnreachable) {
  private static final NodeReport NONE = new NodeReport(NodeCapacity.getDefaultInstance(), false);

  /** Returns the report of a node that says nothing of itself. */
  public static NodeReport none() {
    return NONE;
  }
}
