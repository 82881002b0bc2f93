package org.currantslip.node.wiring;

import java.util.List;
import java.util.Optional;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.poll.LoadPoll;
import org.currantslip.node.poll.PeerReports;
import org.currantslip.node.poll.PendingAnswers;
import org.currantslip.node.poll.RatingPoll;
import org.currantslip.node.poll.RecentEndpointTracker;
import org.currantslip.node.poll.VmListPoll;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.RatingNotice;

/** The periodic polls of a node and its periodic reports to peers. */
final class NodePolls {
  private final CoreComponents core;
  private final VmListPoll vmListPoll;
  private final LoadPoll loadPoll;
  private final PeerReports peerReports;
  private final Optional<RatingPoll> ratingPoll;

  private NodePolls(
      CoreComponents core,
      PlatformPorts platform,
      PeerNetwork peers,
      RecentEndpointTracker recentEndpointTracker,
      PendingAnswers pendingAnswers,
      Clock clock) {
    this.core = core;
    var membership = core.membership();
    long seed = membership.self().getId().getIncarnation();
    vmListPoll = VmListPoll.create(platform.vmList(), clock, this::onEndpoints);
    loadPoll =
        LoadPoll.create(
            platform.loadReports(), membership, core.chooser(), recentEndpointTracker, clock);
    peerReports =
        PeerReports.create(membership, peers, core.versions(), core.admission(), clock, seed);
    ratingPoll =
        platform
            .ratings()
            .map(
                source ->
                    RatingPoll.create(
                        source, membership, peers, pendingAnswers, core.decisionLog(), clock));
    core.versions().setStopListener(this::onBrake);
  }

  static NodePolls create(
      CoreComponents core,
      PlatformPorts platform,
      PeerNetwork peers,
      RecentEndpointTracker recentEndpointTracker,
      PendingAnswers pendingAnswers,
      Clock clock) {
    return new NodePolls(core, platform, peers, recentEndpointTracker, pendingAnswers, clock);
  }

  void onRating(RatingNotice notice) {
    ratingPoll.ifPresent(poll -> poll.onNotice(notice));
  }

  void tick() {
    vmListPoll.tick();
    loadPoll.tick();
    peerReports.tick();
    ratingPoll.ifPresent(RatingPoll::tick);
  }

  private void onEndpoints(List<EndpointRecord> endpoints) {
    core.chooser().onEndpoints(endpoints);
    long leaving = endpoints.stream().filter(EndpointRecord::getLeaving).count();
    EventLog.write(LogEvent.ENDPOINTS_CHANGED, "count=" + endpoints.size() + " leaving=" + leaving);
  }

  private void onBrake(BrakeNotice notice) {
    peerReports.sendStopNotice(notice);
    EventLog.write(
        LogEvent.VERSION_STOPPED, "model=" + notice.getModel() + " version=" + notice.getVersion());
  }
}
