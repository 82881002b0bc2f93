package org.currantslip.node.metrics;

/**
 * Immutable snapshot of the gauge values, published by the decision thread.
 *
 * @param inFlight requests in flight
 * @param backlog tasks queued for the decision thread
 * @param liveNodes nodes considered alive
 * @param entryNodes nodes to which callers may connect
 * @param links open peer links
 * @param frames frames received from peers since the start
 * @param endpoints known endpoints
 * @param configVersion version of the active configuration
 * @param configAgeMs time since the active configuration was last confirmed as the newest
 * @param quarantinedParts prompt parts under quarantine
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
    long configAgeMs,
    int quarantinedParts) {
  /** Returns the initial values, which are all zero. */
  public static NodeGauges empty() {
    return new NodeGauges(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
  }
}
