package org.currantslip.core.quarantine;

import java.util.List;
import org.currantslip.schema.QuarantineUpdate;

/** The peers of a node that runs alone and judges all parts itself. */
record NoPeers(String self) implements QuarantinePeers {
  @Override
  public List<String> rankedNodes(String service, String part) {
    return List.of(self);
  }

  @Override
  public void send(String node, QuarantineUpdate update) {}

  @Override
  public void sendToAll(QuarantineUpdate update) {}
}
