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
 * Selects the peers that hold copies of this node's records, ranked by rendezvous hashing.
 *
 * <p>Peers in this node's failure domain are excluded. The selected peers are in distinct failure
 * domains if there are enough of them.
 */
final class CopyPeerSelector {
  private static final long SUSPECT_MS = 5_000;

  private final NodeRecord self;
  private final Membership membership;
  private final Clock clock;
  private final Map<NodeId, Long> suspectUntilMs = new HashMap<>();

  private CopyPeerSelector(NodeRecord self, Membership membership, Clock clock) {
    this.self = self;
    this.membership = membership;
    this.clock = clock;
  }

  static CopyPeerSelector create(NodeRecord self, Membership membership, Clock clock) {
    return new CopyPeerSelector(self, membership, clock);
  }

  /** Excludes a peer from the selection for {@value #SUSPECT_MS} ms. */
  void suspect(NodeId peer) {
    suspectUntilMs.put(peer, clock.nowMs() + SUSPECT_MS);
  }

  /** Returns whether this incarnation of a peer can hold copies. */
  boolean isUsable(NodeId peer) {
    return suspectUntilMs.getOrDefault(peer, Long.MIN_VALUE) <= clock.nowMs()
        && !membership.isGone(peer)
        && membership.find(peer.getName()).filter(n -> n.getId().equals(peer)).isPresent();
  }

  /** Returns up to {@code count} peers that are not in use yet. */
  List<NodeId> select(int count, Set<NodeId> inUse) {
    suspectUntilMs.values().removeIf(until -> until <= clock.nowMs());
    List<NodeRecord> ranked =
        membership.entryNodes().stream()
            .filter(n -> !n.getFailureDomain().equals(self.getFailureDomain()))
            .filter(n -> !inUse.contains(n.getId()) && isUsable(n.getId()))
            .sorted(Comparator.comparingLong(this::score).reversed())
            .toList();
    List<NodeRecord> selected = new ArrayList<>();
    ranked.stream().filter(n -> isNewDomain(n, selected, inUse)).forEach(selected::add);
    ranked.stream().filter(n -> !selected.contains(n)).forEach(selected::add);
    return selected.stream().limit(count).map(NodeRecord::getId).toList();
  }

  private boolean isNewDomain(NodeRecord node, List<NodeRecord> selected, Set<NodeId> inUse) {
    boolean selectedInDomain =
        selected.stream().anyMatch(c -> c.getFailureDomain().equals(node.getFailureDomain()));
    boolean usedInDomain =
        inUse.stream()
            .flatMap(id -> membership.find(id.getName()).stream())
            .anyMatch(n -> n.getFailureDomain().equals(node.getFailureDomain()));
    return !selectedInDomain && !usedInDomain;
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
