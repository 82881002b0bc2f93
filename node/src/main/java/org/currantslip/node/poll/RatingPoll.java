package org.currantslip.node.poll;

import java.util.List;
import java.util.Optional;
import org.currantslip.adapter.rating.Rating;
import org.currantslip.adapter.rating.RatingSource;
import org.currantslip.core.audit.DecisionLog;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.request.RequestIds;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.RatingNotice;

/**
 * Reads the rating feed for one failure domain and delivers each rating to the node that gave the
 * answer.
 *
 * <p>The nodes of a failure domain agree on one reader by rendezvous hashing. The reader delivers
 * only ratings of its own failure domain, so that no rating is counted twice.
 */
public final class RatingPoll {
  private static final long INTERVAL_MS = 500;
  private static final String READER_KEY = "ratings";

  private final RatingSource source;
  private final HeartbeatMembership membership;
  private final PeerNetwork peers;
  private final PendingAnswers pendingAnswers;
  private final DecisionLog decisionLog;
  private final PollSchedule schedule;
  private long cursor;

  private RatingPoll(
      RatingSource source,
      HeartbeatMembership membership,
      PeerNetwork peers,
      PendingAnswers pendingAnswers,
      DecisionLog decisionLog,
      Clock clock) {
    this.source = source;
    this.membership = membership;
    this.peers = peers;
    this.pendingAnswers = pendingAnswers;
    this.decisionLog = decisionLog;
    schedule = PollSchedule.of(clock, INTERVAL_MS);
  }

  /** Creates a poll that starts after the highest cursor known to this node. */
  public static RatingPoll create(
      RatingSource source,
      HeartbeatMembership membership,
      PeerNetwork peers,
      PendingAnswers pendingAnswers,
      DecisionLog decisionLog,
      Clock clock) {
    return new RatingPoll(source, membership, peers, pendingAnswers, decisionLog, clock);
  }

  /** Applies a rating that another node has read, and advances the cursor. */
  public void onNotice(RatingNotice notice) {
    cursor = Math.max(cursor, notice.getCursor());
    pendingAnswers.applyRating(notice.getRequestId(), notice.getGood());
  }

  /** Reads the feed when it is due and this node is the reader. */
  public void tick() {
    if (schedule.tryStart()) {
      if (!isReader()) {
        schedule.finish();
        return;
      }
      source
          .fetchAfter(cursor)
          .whenComplete(
              (ratings, failure) -> {
                schedule.finish();
                if (failure == null) {
                  ratings.forEach(this::onRating);
                }
              });
    }
  }

  private boolean isReader() {
    NodeRecord self = membership.self();
    List<NodeRecord> domainNodes =
        membership.live().stream()
            .filter(n -> n.getFailureDomain().equals(self.getFailureDomain()))
            .toList();
    return Rendezvous.isAssigned(self.getId().getName(), READER_KEY, domainNodes, 1);
  }

  private void onRating(Rating rating) {
    cursor = Math.max(cursor, rating.cursor());
    RequestIds.issuingNode(rating.requestId())
        .filter(this::isInLocalDomain)
        .ifPresent(origin -> deliver(origin, rating));
  }

  private boolean isInLocalDomain(NodeId origin) {
    Optional<NodeRecord> node =
        origin.getName().equals(membership.self().getId().getName())
            ? Optional.of(membership.self())
            : membership.lastKnown(origin.getName());
    return node.map(NodeRecord::getFailureDomain)
        .filter(membership.self().getFailureDomain()::equals)
        .isPresent();
  }

  private void deliver(NodeId origin, Rating rating) {
    if (membership.isGone(origin)) {
      decisionLog
          .find(rating.requestId())
          .thenAccept(
              found ->
                  found.ifPresent(decision -> pendingAnswers.applyRating(decision, rating.good())))
          .exceptionally(failure -> null);
    } else if (origin.equals(membership.self().getId())) {
      pendingAnswers.applyRating(rating.requestId(), rating.good());
    } else {
      RatingNotice notice =
          RatingNotice.newBuilder()
              .setRequestId(rating.requestId())
              .setGood(rating.good())
              .setCursor(rating.cursor())
              .build();
      peers.send(origin.getName(), PeerFrame.newBuilder().setRating(notice).build());
    }
  }
}
