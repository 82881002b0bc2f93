package org.currantslip.core.fleet;

import java.util.List;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.QuarantineUpdate;

/** Connects the quarantines of a test fleet through its fake peer network. */
record FleetQuarantinePeers(String self, List<String> nodes, PeerNetwork network)
    implements QuarantinePeers {
  @Override
  public List<String> rankedNodes(String service, String part) {
    return NodeRanking.rank(service, part, nodes);
  }

  @Override
  public void send(String node, QuarantineUpdate update) {
    network.send(node, PeerFrame.newBuilder().setQuarantine(update).build());
  }

  @Override
  public void sendToAll(QuarantineUpdate update) {
    nodes.stream().filter(n -> !n.equals(self)).forEach(n -> send(n, update));
  }
}
