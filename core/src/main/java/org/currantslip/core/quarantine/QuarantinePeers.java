package org.currantslip.core.quarantine;

import java.util.List;
import org.currantslip.schema.QuarantineUpdate;

/** Access to the other nodes. Messages may be lost or delayed. */
public interface QuarantinePeers {
  /** Returns the name of this node. */
  String self();

  /**
   * Returns the names of the live nodes that judge a part, the one that runs trials first. This
   * node may be among them.
   */
  List<String> judges(String service, String part);

  /** Sends an update to one other node. */
  void send(String node, QuarantineUpdate update);

  /** Sends an update to all other live nodes. */
  void sendToAll(QuarantineUpdate update);
}
