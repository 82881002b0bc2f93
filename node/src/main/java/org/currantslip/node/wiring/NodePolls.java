package org.currantslip.node.wiring;

import java.util.List;
import java.util.Optional;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.poll.LoadPoll;
import org.currantslip.node.poll.PeerReports;
import org.currantslip.node.poll.RatedAnswers;
import org.currantslip.node.poll.RatingPoll;
import org.currantslip.node.poll.UsedEndpoints;
import org.currantslip.node.poll.VmListPoll;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.RatingNotice;

/** All periodic readings and reports of a node. */
final class NodePolls {
  private final CoreParts core;
  private final VmListPoll vmList;
  private final LoadPoll loads;
  private final PeerReports reports;
  private final Optional<RatingPoll> ratings;

  private NodePolls(
      CoreParts core,
      PlatformPorts platform,
      PeerNetwork peers,
      UsedEndpoints used,
      RatedAnswers answers,
      Clock clock) {
    this.core = core;
    var membership = core.membership();
    long seed = membership.self().getId().getIncarnation();
    vmList = VmListPoll.create(platform.vmList(), clock, this::onEndpoints);
    loads = LoadPoll.create(platform.loads(), membership, core.chooser(), used, clock);
    reports = PeerReports.create(membership, peers, core.versions(), core.admission(), clock, seed);
    ratings =
        platform
            .ratings()
            .map(
                source ->
                    RatingPoll.create(
                        source, membership, peers, answers, core.decisionLog(), clock));
    core.versions().setBrakeListener(this::onBrake);
  }

  static NodePolls create(
      CoreParts core,
      PlatformPorts platform,
      PeerNetwork peers,
      UsedEndpoints used,
      RatedAnswers answers,
      Clock clock) {
    return new NodePolls(core, platform, peers, used, answers, clock);
  }

  void onRating(RatingNotice notice) {
    ratings.ifPresent(poll -> poll.onNotice(notice));
  }

  void tick() {
    vmList.tick();
    loads.tick();
    reports.tick();
    ratings.ifPresent(RatingPoll::tick);
  }

  private void onEndpoints(List<EndpointRecord> endpoints) {
    core.chooser().onEndpoints(endpoints);
    long leaving = endpoints.stream().filter(EndpointRecord::getLeaving).count();
    EventLog.write(LogEvent.ENDPOINTS_CHANGED, "count=" + endpoints.size() + " leaving=" + leaving);
  }

  private void onBrake(BrakeNotice notice) {
    reports.brake(notice);
    EventLog.write(
        LogEvent.VERSION_STOPPED, "model=" + notice.getModel() + " version=" + notice.getVersion());
  }
}
