package org.currantslip.core.quarantine;

import java.util.List;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.schema.QuarantineUpdate;

/** Access to the other nodes. Messages may be lost or delayed. */
public interface QuarantinePeers {
  /** Returns the peers of a node that runs alone. */
  static QuarantinePeers none(String self) {
    return new NoPeers(self);
  }

  /** Returns the name of this node. */
  String self();

  /**
   * Returns the names of all live nodes that serve requests, which may include this one, in the
   * order of {@link NodeRanking}. The first ones judge the part.
   */
  List<String> rankedNodes(String service, String part);

  /** Sends an update to one other node. */
  void send(String node, QuarantineUpdate update);

  /** Sends an update to all other live nodes. */
  void sendToAll(QuarantineUpdate update);
}
