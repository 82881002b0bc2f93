package org.currantslip.node.edge;

import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.rollout.ServiceRolloutController;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.PrefillReport;

/** Reports what this node has observed of endpoints and versions to other nodes. */
final class FleetReports {
  private static final long REPORT_INTERVAL_MS = 300;

  /** Short compared with the prefill of a long prompt, which keeps an engine busy. */
  private static final long PREFILL_REPORT_INTERVAL_MS = 75;

  /** Share of the other nodes that must be heartbeat targets for prefill reports to be sent. */
  private static final double MIN_REPORTED_SHARE = 0.3;

  private final Clock clock;
  private final HeartbeatMembership membership;
  private final PeerNetwork peers;
  private final ServiceRollouts rollouts;
  private final ServiceRolloutController rolloutController;
  private final ExpectedWaitChooser endpointChooser;
  private long nextReportMs;
  private long nextPrefillReportMs;
  private PrefillReport lastPrefillReport = PrefillReport.getDefaultInstance();

  private FleetReports(
      Clock clock,
      HeartbeatMembership membership,
      PeerNetwork peers,
      ServiceRollouts rollouts,
      ServiceRolloutController rolloutController,
      ExpectedWaitChooser endpointChooser) {
    this.clock = clock;
    this.membership = membership;
    this.peers = peers;
    this.rollouts = rollouts;
    this.rolloutController = rolloutController;
    this.endpointChooser = endpointChooser;
  }

  static FleetReports create(
      Clock clock,
      HeartbeatMembership membership,
      PeerNetwork peers,
      ServiceRollouts rollouts,
      ServiceRolloutController rolloutController,
      ExpectedWaitChooser endpointChooser) {
    return new FleetReports(clock, membership, peers, rollouts, rolloutController, endpointChooser);
  }

  /** Sends the reports that are due. */
  void tick() {
    long nowMs = clock.nowMs();
    if (nowMs >= nextReportMs) {
      nextReportMs = nowMs + REPORT_INTERVAL_MS;
      sendOutcomeReport();
      endpointChooser
          .limitReport()
          .ifPresent(r -> sendToOthers(PeerFrame.newBuilder().setEndpointLimits(r).build()));
    }
    if (nowMs >= nextPrefillReportMs) {
      nextPrefillReportMs = nowMs + PREFILL_REPORT_INTERVAL_MS;
      sendPrefillReport();
    }
  }

  /** Sends a frame to all other live nodes. */
  void sendToOthers(PeerFrame frame) {
    membership.live().stream()
        .map(n -> n.getId().getName())
        .filter(n -> !n.equals(ownName()))
        .forEach(n -> peers.send(n, frame));
  }

  private String ownName() {
    return membership.self().getId().getName();
  }

  /** Sends the observed outcomes per version to the nodes that may control the rollouts. */
  private void sendOutcomeReport() {
    rollouts
        .report()
        .ifPresent(
            outcomes -> {
              PeerFrame frame = PeerFrame.newBuilder().setOutcomes(outcomes).build();
              rollouts.orders().stream()
                  .flatMap(o -> rolloutController.candidates(o.service()).stream())
                  .distinct()
                  .filter(n -> !n.equals(ownName()))
                  .forEach(n -> peers.send(n, frame));
            });
  }

  /**
   * Sends the prompts of this node to its heartbeat targets, unless nothing changed. The targets
   * are bounded in number; in a large fleet the reports of so few nodes tell less than they cost.
   */
  private void sendPrefillReport() {
    Set<String> targets = membership.heartbeatTargets();
    if (targets.size() < MIN_REPORTED_SHARE * (membership.live().size() - 1)) {
      return;
    }
    PrefillReport report = endpointChooser.prefillReport();
    if (report.equals(lastPrefillReport)) {
      return;
    }
    lastPrefillReport = report;
    PeerFrame frame = PeerFrame.newBuilder().setPrefill(report).build();
    targets.forEach(n -> peers.send(n, frame));
  }
}
