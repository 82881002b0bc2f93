package org.currantslip.core.port;

import java.util.concurrent.CompletableFuture;
import org.currantslip.schema.PeerFrame;

/** Messages to other nodes. Futures complete on the thread that owns the caller's state. */
public interface PeerNetwork {
  /** Sends a frame and expects no reply; it is dropped when there is no link. */
  void send(String node, PeerFrame frame);

  /**
   * Sends a request and returns its reply. The future fails with {@link PeerException} when there
   * is no link, the link breaks or the reply is late.
   */
  CompletableFuture<PeerFrame> ask(String node, PeerFrame request, long timeoutMs);
}
