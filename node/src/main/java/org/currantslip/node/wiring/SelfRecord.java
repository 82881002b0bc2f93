package org.currantslip.node.wiring;

import com.google.common.net.HostAndPort;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.ListenSettings;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.NodeState;

/** Builds the node record with which this process joins the cluster. */
final class SelfRecord {
  private SelfRecord() {}

  static NodeRecord of(NodeSettings settings, long incarnation, Clock clock) {
    return NodeRecord.newBuilder()
        .setId(NodeId.newBuilder().setName(settings.getName()).setIncarnation(incarnation))
        .setRegion(settings.getRegion())
        .setFailureDomain(settings.getFailureDomain())
        .setCallerAddress(address(settings.getCaller()))
        .setPeerAddress(address(settings.getPeer()))
        .setAdminAddress(address(settings.getAdmin()))
        .setState(NodeState.JOINING)
        .setJoinedMs(clock.nowMs())
        .build();
  }

  private static String address(ListenSettings listen) {
    return HostAndPort.fromParts(listen.getHost(), listen.getPort()).toString();
  }
}
