package org.currantslip.node.wiring;

import java.util.function.Consumer;
import org.currantslip.node.peer.PeerDispatcher;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Gives each frame of a peer to the part it is for. */
final class FrameRouter implements PeerDispatcher {
  private final CoreParts core;
  private final NodePolls polls;

  private FrameRouter(CoreParts core, NodePolls polls) {
    this.core = core;
    this.polls = polls;
  }

  static FrameRouter create(CoreParts core, NodePolls polls) {
    return new FrameRouter(core, polls);
  }

  @Override
  public void onLink(NodeRecord peer) {
    core.membership().onRecord(peer);
  }

  @Override
  public void onFrame(String fromNode, PeerFrame frame, Consumer<PeerFrame> reply) {
    PeerFrame.Builder answer = PeerFrame.newBuilder();
    switch (frame.getBodyCase()) {
      case HEARTBEAT ->
          reply.accept(
              answer.setHeartbeat(core.membership().onHeartbeat(frame.getHeartbeat())).build());
      case CONFIG_ANNOUNCE -> core.config().onAnnounce(fromNode, frame.getConfigAnnounce());
      case CONFIG_REQUEST ->
          core.config()
              .onRequest(frame.getConfigRequest())
              .ifPresent(config -> reply.accept(answer.setConfig(config).build()));
      case CONFIG -> core.config().onConfig(frame.getConfig());
      case USAGE_COPY ->
          reply.accept(answer.setUsageCopyAck(core.usage().onCopy(frame.getUsageCopy())).build());
      case USAGE_RELEASE -> core.usage().onRelease(frame.getUsageRelease());
      case INTENT_QUERY ->
          reply.accept(
              answer.setIntentAnswer(core.ledger().answer(frame.getIntentQuery())).build());
      case LEDGER_APPEND ->
          core.ledger()
              .onAppend(frame.getLedgerAppend())
              .thenAccept(r -> reply.accept(answer.setLedgerAppendReply(r).build()));
      case EVIDENCE -> core.versions().onEvidence(frame.getEvidence());
      case BRAKE -> core.versions().onBrake(frame.getBrake());
      case DEMAND -> core.admission().onDemand(frame.getDemand());
      case SESSION_QUERY ->
          reply.accept(
              answer.setSessionAnswer(core.homes().answer(frame.getSessionQuery())).build());
      case RATING -> polls.onRating(frame.getRating());
      default -> {
        // Replies reach their askers before they come here; newer kinds of frames are ignored.
      }
    }
  }
}
