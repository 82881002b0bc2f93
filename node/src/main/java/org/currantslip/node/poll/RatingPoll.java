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
 * Reads the rating feed for one failure domain and brings each rating to the node that gave the
 * answer.
 *
 * <p>The nodes of a failure domain agree on the reader by rendezvous hashing. It passes on the
 * ratings of its own failure domain alone, so that no rating counts twice.
 */
public final class RatingPoll {
  private static final long EVERY_MS = 500;
  private static final String KEY = "ratings";

  private final RatingSource source;
  private final HeartbeatMembership membership;
  private final PeerNetwork peers;
  private final RatedAnswers answers;
  private final DecisionLog decisions;
  private final Interval interval;
  private long cursor;

  private RatingPoll(
      RatingSource source,
      HeartbeatMembership membership,
      PeerNetwork peers,
      RatedAnswers answers,
      DecisionLog decisions,
      Clock clock) {
    this.source = source;
    this.membership = membership;
    this.peers = peers;
    this.answers = answers;
    this.decisions = decisions;
    interval = Interval.of(clock, EVERY_MS);
  }

  /** Returns a poll that begins at the first rating it has not heard of. */
  public static RatingPoll create(
      RatingSource source,
      HeartbeatMembership membership,
      PeerNetwork peers,
      RatedAnswers answers,
      DecisionLog decisions,
      Clock clock) {
    return new RatingPoll(source, membership, peers, answers, decisions, clock);
  }

  /** Takes a rating that another node has read. */
  public void onNotice(RatingNotice notice) {
    cursor = Math.max(cursor, notice.getCursor());
    answers.rated(notice.getRequestId(), notice.getGood());
  }

  /** Reads the feed when this node is the reader and it is due. */
  public void tick() {
    if (interval.begin()) {
      if (!isReader()) {
        interval.end();
        return;
      }
      source
          .since(cursor)
          .whenComplete(
              (ratings, failure) -> {
                interval.end();
                if (failure == null) {
                  ratings.forEach(this::take);
                }
              });
    }
  }

  private boolean isReader() {
    NodeRecord self = membership.self();
    List<NodeRecord> domain =
        membership.live().stream()
            .filter(n -> n.getFailureDomain().equals(self.getFailureDomain()))
            .toList();
    return Rendezvous.isChosen(self.getId().getName(), KEY, domain, 1);
  }

  private void take(Rating rating) {
    cursor = Math.max(cursor, rating.cursor());
    RequestIds.nodeOf(rating.requestId())
        .filter(this::isOfThisDomain)
        .ifPresent(origin -> deliver(origin, rating));
  }

  private boolean isOfThisDomain(NodeId origin) {
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
      decisions
          .find(rating.requestId())
          .thenAccept(found -> found.ifPresent(rec -> answers.count(rec, rating.good())))
          .exceptionally(failure -> null);
    } else if (origin.equals(membership.self().getId())) {
      answers.rated(rating.requestId(), rating.good());
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
