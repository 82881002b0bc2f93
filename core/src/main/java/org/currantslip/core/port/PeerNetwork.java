package org.currantslip.core.port;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.PeerFrame;

/**
 * Sends messages to other nodes. Futures complete on the thread that owns the state of the calling
 * component.
 */
public interface PeerNetwork {
  /** Sends a frame without expecting a reply; the frame is dropped if there is no link. */
  void send(String node, PeerFrame frame);

  /**
   * Sends a frame without expecting a reply, and returns whether a link took it. A frame that a
   * link took may still be lost with that link.
   */
  default boolean trySend(String node, PeerFrame frame) {
    send(node, frame);
    return true;
  }

  /**
   * Sends a request and returns its reply. The future fails with {@link PeerException} if there is
   * no link, the link breaks or no reply arrives within {@code timeoutMs}.
   */
  CompletableFuture<PeerFrame> request(String node, PeerFrame request, long timeoutMs);
}
