package org.currantslip.core.allowance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.membership.NodeRanking;
import org.currantslip.schema.NodeRecord;

/**
 * Lets as many nodes send to an endpoint as it accepts whole requests a second, with equal shares.
 *
 * <p>A share of less than one request a second would leave most of a limit unused in a large fleet.
 * All nodes rank the senders alike, so that no message is needed.
 */
public final class RankedSenders implements SenderShares {
  private static final String GROUP = "request-limit";

  private final Membership membership;
  private final Map<String, Integer> rankByEndpoint = new HashMap<>();
  private List<NodeRecord> rankedNodes = List.of();

  private RankedSenders(Membership membership) {
    this.membership = membership;
  }

  /** Returns the shares of a node in its fleet. */
  public static RankedSenders create(Membership membership) {
    return new RankedSenders(membership);
  }

  @Override
  public double shareOf(String endpointId, double limitPerS) {
    List<NodeRecord> nodes = membership.servingNodes();
    if (nodes != rankedNodes) {
      rankedNodes = nodes;
      rankByEndpoint.clear();
    }
    int rank = rankByEndpoint.computeIfAbsent(endpointId, this::rankOf);
    int senders = senderCount(limitPerS);
    return rank >= 0 && rank < senders ? limitPerS / senders : 0;
  }

  @Override
  public boolean isLeftToFew(double limitPerS) {
    return senderCount(limitPerS) < membership.servingNodes().size();
  }

  private int senderCount(double limitPerS) {
    return (int) Math.max(1, Math.min(membership.servingNodes().size(), Math.floor(limitPerS)));
  }

  private int rankOf(String endpointId) {
    List<String> names = rankedNodes.stream().map(n -> n.getId().getName()).toList();
    return NodeRanking.rank(GROUP, endpointId, names).indexOf(membership.self().getId().getName());
  }
}
