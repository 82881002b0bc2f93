package org.currantslip.node.peer;

import java.util.Optional;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Takes what arrives from other nodes; called on the decision thread. */
public interface PeerDispatcher {
  /** A link to this node was opened or accepted. */
  void onLink(NodeRecord peer);

  /** A frame arrived; the returned frame is the reply if the peer asked for one. */
  Optional<PeerFrame> onFrame(String fromNode, PeerFrame frame);
}
