package org.currantslip.core.usage;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;

/**
 * Chooses the peers that keep copies: always the same few, by rendezvous hash, in failure domains
 * other than this node's, and each in one of its own where there are enough.
 */
final class CopyPeers {
  private static final long SUSPECT_MS = 5_000;

  private final NodeRecord self;
  private final Membership membership;
  private final Clock clock;
  private final Map<NodeId, Long> suspectUntilMs = new HashMap<>();

  private CopyPeers(NodeRecord self, Membership membership, Clock clock) {
    this.self = self;
    this.membership = membership;
    this.clock = clock;
  }

  static CopyPeers create(NodeRecord self, Membership membership, Clock clock) {
    return new CopyPeers(self, membership, clock);
  }

  /** Leaves a peer out for a while. */
  void suspect(NodeId peer) {
    suspectUntilMs.put(peer, clock.nowMs() + SUSPECT_MS);
  }

  /** Returns whether this incarnation of a peer can keep copies. */
  boolean isUsable(NodeId peer) {
    return suspectUntilMs.getOrDefault(peer, Long.MIN_VALUE) <= clock.nowMs()
        && !membership.isGone(peer)
        && membership.find(peer.getName()).filter(n -> n.getId().equals(peer)).isPresent();
  }

  /** Returns up to {@code count} peers besides those in use already. */
  List<NodeId> choose(int count, Set<NodeId> inUse) {
    suspectUntilMs.values().removeIf(until -> until <= clock.nowMs());
    List<NodeRecord> ranked =
        membership.entries().stream()
            .filter(n -> !n.getFailureDomain().equals(self.getFailureDomain()))
            .filter(n -> !inUse.contains(n.getId()) && isUsable(n.getId()))
            .sorted(Comparator.comparingLong(this::score).reversed())
            .toList();
    List<NodeRecord> chosen = new ArrayList<>();
    ranked.stream().filter(n -> isNewDomain(n, chosen, inUse)).forEach(chosen::add);
    ranked.stream().filter(n -> !chosen.contains(n)).forEach(chosen::add);
    return chosen.stream().limit(count).map(NodeRecord::getId).toList();
  }

  private boolean isNewDomain(NodeRecord node, List<NodeRecord> chosen, Set<NodeId> inUse) {
    boolean taken =
        chosen.stream().anyMatch(c -> c.getFailureDomain().equals(node.getFailureDomain()));
    boolean used =
        inUse.stream()
            .flatMap(id -> membership.find(id.getName()).stream())
            .anyMatch(n -> n.getFailureDomain().equals(node.getFailureDomain()));
    return !taken && !used;
  }

  private long score(NodeRecord node) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(self.getId().getName(), StandardCharsets.UTF_8)
        .putChar('>')
        .putString(node.getId().getName(), StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
