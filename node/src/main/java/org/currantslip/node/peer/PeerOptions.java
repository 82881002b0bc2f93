package org.currantslip.node.peer;

import org.currantslip.schema.NodeSettings;

/**
 * Bounds of the peer links.
 *
 * @param host address to listen on
 * @param port port to listen on, zero for any
 * @param secret shared secret of all nodes
 * @param maxFrameBytes longest frame
 * @param maxLinks most links at once
 * @param heartbeatMs time without a frame after which a link sends an empty one
 * @param silentMs silence after which a link is closed
 */
public record PeerOptions(
    String host,
    int port,
    String secret,
    int maxFrameBytes,
    int maxLinks,
    long heartbeatMs,
    long silentMs) {

  private static final int MAX_LINKS = 1_024;

  /** Returns the bounds that the settings name. */
  public static PeerOptions from(NodeSettings settings) {
    return new PeerOptions(
        settings.getPeer().getHost(),
        settings.getPeer().getPort(),
        settings.getSecurity().getPeerSecret(),
        settings.getLimits().getMaxFrameBytes(),
        MAX_LINKS,
        settings.getTimeouts().getHeartbeatMs(),
        settings.getTimeouts().getPeerSilentMs());
  }

  /** Never shows the secret. */
  @Override
  public String toString() {
    return "PeerOptions[" + host + ":" + port + "]";
  }
}
