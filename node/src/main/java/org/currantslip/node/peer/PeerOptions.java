package org.currantslip.node.peer;

import org.currantslip.schema.NodeSettings;

/**
 * Addresses, limits and timeouts of the peer links.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 picks a free port
 * @param secret secret shared by all nodes
 * @param maxFrameBytes maximum length of a frame after the handshake
 * @param maxLinks maximum number of open connections
 * @param heartbeatMs time without a sent frame after which an empty keep-alive frame is sent
 * @param idleTimeoutMs time without a received frame after which a link is closed; also limits
 *     connecting and the handshake
 */
public record PeerOptions(
    String host,
    int port,
    String secret,
    int maxFrameBytes,
    int maxLinks,
    long heartbeatMs,
    long idleTimeoutMs) {

  private static final int MAX_LINKS = 1_024;

  /** Returns the options given by the settings. */
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

  /** Omits the secret so that it cannot reach a log. */
  @Override
  public String toString() {
    return "PeerOptions[" + host + ":" + port + "]";
  }
}
