package org.currantslip.core.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.ConfigAnnounce;
import org.currantslip.schema.Heartbeat;
import org.currantslip.schema.MirrorRevision;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeView;

/** Writes heartbeats: what this node says of itself and of a bounded number of members. */
final class HeartbeatWriter {
  private final Clock clock;
  private final TreeMap<String, Member> members;
  private final ReachExchange reach;
  private final int maxGossip;
  private final GossipQueue gossip = GossipQueue.create();
  private final ViewRotation viewRotation = ViewRotation.create();
  private Supplier<ConfigAnnounce> configStatus = ConfigAnnounce::getDefaultInstance;
  private Supplier<List<MirrorRevision>> mirrorRevisions = List::of;
  private Supplier<NodeReport> report = NodeReport::none;

  private HeartbeatWriter(
      Clock clock, TreeMap<String, Member> members, ReachExchange reach, int maxGossip) {
    this.clock = clock;
    this.reach = reach;
    this.members = members;
    this.maxGossip = maxGossip;
  }

  /** Creates a writer that describes these members, which its caller changes. */
  static HeartbeatWriter create(
      Clock clock, TreeMap<String, Member> members, ReachExchange reach, int maxGossip) {
    return new HeartbeatWriter(clock, members, reach, maxGossip);
  }

  void setConfigStatus(Supplier<ConfigAnnounce> status) {
    configStatus = status;
  }

  void setMirrorRevisions(Supplier<List<MirrorRevision>> revisions) {
    mirrorRevisions = revisions;
  }

  void setReport(Supplier<NodeReport> ownReport) {
    report = ownReport;
  }

  NodeReport report() {
    return report.get();
  }

  GossipQueue gossip() {
    return gossip;
  }

  Heartbeat write(NodeRecord self) {
    ConfigAnnounce config = configStatus.get();
    Heartbeat.Builder builder =
        Heartbeat.newBuilder()
            .setNode(self.getId())
            .setState(self.getState())
            .setConfigVersion(config.getVersion())
            .setConfigAgeMs(config.getAgeMs())
            .addAllMirror(mirrorRevisions.get())
            .setCapacity(report().capacity());
    reach.addTo(builder);
    Set<String> names = new LinkedHashSet<>(gossip.take(maxGossip));
    names.addAll(viewRotation.next(members));
    names.stream().flatMap(name -> viewOf(name, self)).forEach(builder::addView);
    return builder.build();
  }

  private Stream<NodeView> viewOf(String name, NodeRecord self) {
    if (name.equals(self.getId().getName())) {
      return Stream.of(
          NodeView.newBuilder()
              .setNode(self)
              .setConfigVersion(configStatus.get().getVersion())
              .setCapacity(report().capacity())
              .setEndpointsUnreachable(reach.isUnreachable())
              .build());
    }
    return Optional.ofNullable(members.get(name)).map(this::view).stream();
  }

  NodeView view(Member member) {
    return NodeView.newBuilder()
        .setNode(member.nodeRecord())
        .setHeardMsAgo(Math.max(0, clock.nowMs() - member.lastHeardMs()))
        .setConfigVersion(member.configVersion())
        .setSuspected(member.isSuspected())
        .setCapacity(member.report().capacity())
        .setEndpointsUnreachable(member.isUnreachable(clock.nowMs()))
        .setReachMsAgo(Math.max(0, clock.nowMs() - member.reachAsOfMs()))
        .build();
  }
}
