package org.currantslip.node.edge;

import java.util.function.Consumer;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.node.peer.PeerDispatcher;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Dispatches the frames of peers to the components that handle them. */
final class EdgeFrames implements PeerDispatcher {
  private final HeartbeatMembership membership;
  private final FleetMirrors mirrors;
  private final ServiceRollouts rollouts;
  private final ExpectedWaitChooser endpointChooser;
  private final PromptQuarantine quarantine;
  private final QuarantineLinks quarantineLinks;
  private final RelayLinks relayLinks;

  private EdgeFrames(
      HeartbeatMembership membership,
      FleetMirrors mirrors,
      ServiceRollouts rollouts,
      ExpectedWaitChooser endpointChooser,
      PromptQuarantine quarantine,
      QuarantineLinks quarantineLinks,
      RelayLinks relayLinks) {
    this.membership = membership;
    this.mirrors = mirrors;
    this.rollouts = rollouts;
    this.endpointChooser = endpointChooser;
    this.quarantine = quarantine;
    this.quarantineLinks = quarantineLinks;
    this.relayLinks = relayLinks;
  }

  static EdgeFrames create(
      HeartbeatMembership membership,
      FleetMirrors mirrors,
      ServiceRollouts rollouts,
      ExpectedWaitChooser endpointChooser,
      PromptQuarantine quarantine,
      QuarantineLinks quarantineLinks,
      RelayLinks relayLinks) {
    return new EdgeFrames(
        membership, mirrors, rollouts, endpointChooser, quarantine, quarantineLinks, relayLinks);
  }

  @Override
  public void onLink(NodeRecord peer) {
    membership.onRecord(peer);
    quarantineLinks.onLink(peer.getId().getName(), quarantine);
  }

  @Override
  public void onLinkLost(NodeRecord peer) {
    mirrors.onLinkLost();
    relayLinks.onLinkLost(peer.getId().getName());
  }

  @Override
  public void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {
    PeerFrame.Builder replyFrame = PeerFrame.newBuilder();
    switch (frame.getBodyCase()) {
      case HEARTBEAT ->
          reply.accept(
              replyFrame.setHeartbeat(membership.onHeartbeat(frame.getHeartbeat())).build());
      case MIRROR_REQUEST, MIRROR_WATCH, COPY_PART_REQUEST ->
          mirrors.onFrame(fromNode, frame, reply);
      case OUTCOMES -> rollouts.onReport(frame.getOutcomes());
      case PREFILL -> endpointChooser.onPrefillReport(fromNode, frame.getPrefill());
      case QUARANTINE -> quarantine.onUpdate(fromNode, frame.getQuarantine());
      case ENDPOINT_LIMITS -> endpointChooser.onLimitReport(frame.getEndpointLimits());
      case ALLOWANCE -> endpointChooser.onAllowanceReport(fromNode, frame.getAllowance());
      case RESTRICTIONS -> endpointChooser.onRestrictions(fromNode, frame.getRestrictions());
      case VERSION_HALT -> rollouts.onHalt(frame.getVersionHalt());
      case RELAY_REQUEST, RELAY_HEAD, RELAY_DATA, RELAY_END, RELAY_CREDIT, RELAY_CANCEL ->
          relayLinks.onFrame(fromNode, frame, reply);
      default -> {
        // Replies have reached their requesters already; frame types of newer nodes are ignored.
      }
    }
  }
}
