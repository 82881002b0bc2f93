package org.currantslip.node.edge;

import org.currantslip.core.allowance.AllowanceLinks;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.AllowanceReport;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.RestrictionReport;

/** Connects the endpoint allowances to the peer links and the queue of requests. */
final class AllowanceFrames implements AllowanceLinks {
  private final Membership membership;
  private final PeerNetwork peers;
  private final FleetReports reports;
  private final SlotQueue queue;

  private AllowanceFrames(
      Membership membership, PeerNetwork peers, FleetReports reports, SlotQueue queue) {
    this.membership = membership;
    this.peers = peers;
    this.reports = reports;
    this.queue = queue;
  }

  static AllowanceFrames create(
      Membership membership, PeerNetwork peers, FleetReports reports, SlotQueue queue) {
    return new AllowanceFrames(membership, peers, reports, queue);
  }

  @Override
  public String selfName() {
    return membership.self().getId().getName();
  }

  @Override
  public void send(String node, AllowanceReport report) {
    peers.send(node, PeerFrame.newBuilder().setAllowance(report).build());
  }

  @Override
  public void sendToOthers(AllowanceReport report) {
    reports.sendToOthers(PeerFrame.newBuilder().setAllowance(report).build());
  }

  @Override
  public void sendToOthers(RestrictionReport report) {
    reports.sendToOthers(PeerFrame.newBuilder().setRestrictions(report).build());
  }

  @Override
  public int waiting(String service) {
    return queue.queuedCount(service);
  }

  @Override
  public void onRoom() {
    queue.tick();
  }
}
