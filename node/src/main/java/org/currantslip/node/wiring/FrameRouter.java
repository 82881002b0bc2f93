package org.currantslip.node.wiring;

import java.util.function.Consumer;
import org.currantslip.node.peer.PeerDispatcher;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Dispatches each frame from a peer to the component that handles it. */
final class FrameRouter implements PeerDispatcher {
  private final CoreComponents core;
  private final NodePolls polls;

  private FrameRouter(CoreComponents core, NodePolls polls) {
    this.core = core;
    this.polls = polls;
  }

  static FrameRouter create(CoreComponents core, NodePolls polls) {
    return new FrameRouter(core, polls);
  }

  @Override
  public void onLink(NodeRecord peer) {
    core.membership().onRecord(peer);
  }

  @Override
  public void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {
    PeerFrame.Builder response = PeerFrame.newBuilder();
    switch (frame.getBodyCase()) {
      case HEARTBEAT ->
          reply.accept(
              response.setHeartbeat(core.membership().onHeartbeat(frame.getHeartbeat())).build());
      case CONFIG_ANNOUNCE -> core.config().onAnnounce(fromNode, frame.getConfigAnnounce());
      case CONFIG_REQUEST ->
          core.config()
              .onRequest(frame.getConfigRequest())
              .ifPresent(config -> reply.accept(response.setConfig(config).build()));
      case CONFIG -> core.config().onConfig(frame.getConfig());
      case USAGE_COPY ->
          reply.accept(response.setUsageCopyAck(core.usage().onCopy(frame.getUsageCopy())).build());
      case USAGE_RELEASE -> core.usage().onRelease(frame.getUsageRelease());
      case INTENT_QUERY ->
          reply.accept(
              response
                  .setIntentAnswer(core.ledger().answerIntentQuery(frame.getIntentQuery()))
                  .build());
      case LEDGER_APPEND ->
          core.ledger()
              .onAppend(frame.getLedgerAppend())
              .thenAccept(result -> reply.accept(response.setLedgerAppendReply(result).build()));
      case EVIDENCE -> core.versions().onEvidence(frame.getEvidence());
      case BRAKE -> core.versions().onStopNotice(frame.getBrake());
      case DEMAND -> core.admission().onPeerDemand(frame.getDemand());
      case SESSION_QUERY ->
          reply.accept(
              response
                  .setSessionAnswer(core.sessionBindings().onQuery(frame.getSessionQuery()))
                  .build());
      case RATING -> polls.onRating(frame.getRating());
      default -> {
        // PeerLinks completes replies itself; frame types from newer versions are ignored.
      }
    }
  }
}
