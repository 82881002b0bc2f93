package org.currantslip.node.edge;

import java.util.List;
import java.util.SplittableRandom;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PartVerdict;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.QuarantineUpdate;

/** Sends what a node knows of quarantined prompt parts over the links to other nodes. */
final class QuarantineLinks implements QuarantinePeers {
  private static final long GOSSIP_INTERVAL_MS = 1_000;

  /** Long enough for each node to be selected by others many times. */
  private static final long MAX_GOSSIP_AGE_MS = 30_000;

  private final Membership membership;
  private final PeerNetwork peers;
  private final Clock clock;
  private final SplittableRandom random;
  private long nextGossipMs;

  private QuarantineLinks(Membership membership, PeerNetwork peers, Clock clock, long seed) {
    this.membership = membership;
    this.peers = peers;
    this.clock = clock;
    random = new SplittableRandom(seed);
  }

  static QuarantineLinks create(Membership membership, PeerNetwork peers, Clock clock, long seed) {
    return new QuarantineLinks(membership, peers, clock, seed);
  }

  @Override
  public String self() {
    return membership.self().getId().getName();
  }

  @Override
  public List<String> rankedNodes(String service, String part) {
    return NodeRanking.rank(service, part, names(membership.servingNodes()));
  }

  @Override
  public void send(String node, QuarantineUpdate update) {
    peers.send(node, PeerFrame.newBuilder().setQuarantine(update).build());
  }

  @Override
  public void sendToAll(QuarantineUpdate update) {
    PeerFrame frame = PeerFrame.newBuilder().setQuarantine(update).build();
    others().forEach(node -> peers.send(node, frame));
  }

  private List<String> others() {
    return names(membership.live()).stream().filter(node -> !node.equals(self())).toList();
  }

  /** Sends all verdicts to a node to which a link was opened. */
  void onLink(String node, PromptQuarantine quarantine) {
    QuarantineUpdate verdicts = quarantine.snapshot();
    if (verdicts.getVerdictCount() > 0) {
      send(node, verdicts);
    }
  }

  /**
   * Sends the recent verdicts to a random node from time to time. A node that was briefly taken for
   * lost gets no verdict and, if its links stay open, no snapshot either.
   */
  void tick(PromptQuarantine quarantine) {
    if (clock.nowMs() < nextGossipMs) {
      return;
    }
    nextGossipMs = clock.nowMs() + GOSSIP_INTERVAL_MS;
    List<String> others = others();
    List<PartVerdict> recent =
        quarantine.snapshot().getVerdictList().stream()
            .filter(v -> v.getAgeMs() < MAX_GOSSIP_AGE_MS)
            .toList();
    if (!recent.isEmpty() && !others.isEmpty()) {
      send(
          others.get(random.nextInt(others.size())),
          QuarantineUpdate.newBuilder().addAllVerdict(recent).build());
    }
  }

  private static List<String> names(List<NodeRecord> nodes) {
    return nodes.stream().map(n -> n.getId().getName()).toList();
  }
}
