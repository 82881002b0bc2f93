package org.currantslip.node.metrics;

/**
 * Values of the gauges; immutable, published by the decision thread.
 *
 * @param inFlight requests under way
 * @param backlog tasks that wait for the decision thread
 * @param liveNodes nodes believed alive
 * @param entryNodes nodes that callers are sent to
 * @param links open peer links
 * @param frames frames taken from peers since the start
 * @param endpoints endpoints known
 * @param configVersion configuration in force
 * @param configAgeMs time since it was confirmed as the newest
 */
public record NodeGauges(
    int inFlight,
    int backlog,
    int liveNodes,
    int entryNodes,
    int links,
    long frames,
    int endpoints,
    long configVersion,
    long configAgeMs) {
  /** Returns the values before anything is known. */
  public static NodeGauges empty() {
    return new NodeGauges(0, 0, 0, 0, 0, 0, 0, 0, 0);
  }
}
