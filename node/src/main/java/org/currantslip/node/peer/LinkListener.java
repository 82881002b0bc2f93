package org.currantslip.node.peer;

import org.currantslip.schema.PeerFrame;

/** Receives link events on the decision thread. */
interface LinkListener {
  /** Called when a link has been authenticated. */
  void onOpen(PeerLink link);

  /** Called when a frame has been received. */
  void onFrame(PeerLink link, PeerFrame frame);

  /** Called when an authenticated link has been closed or lost. */
  void onClosed(PeerLink link);

  /** Called when a link to {@code node} could not be established. */
  void onOpenFailed(String node, String reason);
}
