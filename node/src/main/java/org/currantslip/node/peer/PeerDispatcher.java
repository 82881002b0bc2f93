package org.currantslip.node.peer;

import java.util.function.Consumer;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Handles link changes and frames from other nodes. Called on the decision thread. */
public interface PeerDispatcher {
  /** Called when a link to {@code peer} has been opened or accepted. */
  void onLink(NodeRecord peer);

  /** Called when the link to {@code peer} was closed or timed out. */
  default void onLinkLost(NodeRecord peer) {}

  /**
   * Called when a frame that is not a reply has been received.
   *
   * @param reply sends a reply to the peer; does nothing if the peer requested none
   */
  void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply);

  /** Returns a dispatcher that ignores all events. */
  static PeerDispatcher none() {
    return new PeerDispatcher() {
      @Override
      public void onLink(NodeRecord peer) {}

      @Override
      public void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {}
    };
  }
}
