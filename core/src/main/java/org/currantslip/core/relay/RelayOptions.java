package org.currantslip.core.relay;

/**
 * Bounds on relayed requests.
 *
 * @param maxOutgoing requests that this node relays at a time
 * @param maxIncoming requests of peers that this node runs at a time
 * @param maxLagMs lag of this node's decisions above which it refuses requests of peers
 */
public record RelayOptions(int maxOutgoing, int maxIncoming, long maxLagMs) {
  private static final int MAX_OUTGOING = 256;
  private static final int MAX_INCOMING = 64;
  private static final int MIN_INCOMING = 8;

  /** A third of the lag at which a node refuses its own callers. */
  private static final long MAX_LAG_MS = 100;

  /**
   * Returns the bounds of a node with so many cores; zero if that is unknown. A core runs about as
   * many requests as a helper gets in a fleet of which a quarter is cut off.
   */
  public static RelayOptions ofCores(double cores) {
    int incoming =
        cores <= 0
            ? MAX_INCOMING
            : (int) Math.max(MIN_INCOMING, Math.min(MAX_INCOMING, cores * MAX_INCOMING));
    return new RelayOptions(MAX_OUTGOING, incoming, MAX_LAG_MS);
  }
}
