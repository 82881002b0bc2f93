package org.currantslip.node.peer;

import java.util.function.Consumer;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Takes what arrives from other nodes; called on the decision thread. */
public interface PeerDispatcher {
  /** A link to this node was opened or accepted. */
  void onLink(NodeRecord peer);

  /** A link broke or fell silent. */
  default void onLinkLost(NodeRecord peer) {}

  /** A frame arrived; {@code reply} sends the answer if the peer asked for one. */
  void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply);

  /** Returns a dispatcher that takes nothing. */
  static PeerDispatcher none() {
    return new PeerDispatcher() {
      @Override
      public void onLink(NodeRecord peer) {}

      @Override
      public void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {}
    };
  }
}
