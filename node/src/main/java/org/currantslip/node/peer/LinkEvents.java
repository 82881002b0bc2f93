package org.currantslip.node.peer;

import org.currantslip.schema.PeerFrame;

/** Events of links; they arrive on the decision thread. */
interface LinkEvents {
  /** A link is authenticated. */
  void onOpen(PeerLink link);

  /** A frame arrived. */
  void onFrame(PeerLink link, PeerFrame frame);

  /** A link broke or was closed. */
  void onClosed(PeerLink link);

  /** A link to this node could not be opened. */
  void onOpenFailed(String node, String reason);
}
