package org.currantslip.core.request;

import java.util.List;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.schema.QuarantineUpdate;

/** A node that has no peers and judges all parts itself. */
final class SingleNode implements QuarantinePeers {
  @Override
  public String self() {
    return "n";
  }

  @Override
  public List<String> rankedNodes(String service, String part) {
    return List.of("n");
  }

  @Override
  public void send(String node, QuarantineUpdate update) {}

  @Override
  public void sendToAll(QuarantineUpdate update) {}
}
