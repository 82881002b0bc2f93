package org.currantslip.core.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/**
 * The bounded set of peers that this node exchanges configuration versions with.
 *
 * <p>Nodes form a ring ordered by the hash of their names. The peers (fingers) are the nodes at
 * distances 1, 2, 4 and so on, so that an announcement reaches the whole fleet in a logarithmic
 * number of hops.
 */
final class PeerRing {
  private static final long REFRESH_MS = 500;
  private static final long RETENTION_MS = 3_600_000;

  private final Membership membership;
  private final Clock clock;
  private final Map<String, KnownNode> known = new HashMap<>();
  private ImmutableList<String> fingers = ImmutableList.of();
  private ImmutableSortedSet<String> ownDomain = ImmutableSortedSet.of();
  private ImmutableSortedSet<String> nonLeaving = ImmutableSortedSet.of();
  private ImmutableList<NodeRecord> live = ImmutableList.of();
  private long refreshedMs = Long.MIN_VALUE;

  private PeerRing(Membership membership, Clock clock) {
    this.membership = membership;
    this.clock = clock;
  }

  private record KnownNode(NodeRecord node, long seenMs) {}

  static PeerRing create(Membership membership, Clock clock) {
    return new PeerRing(membership, clock);
  }

  /** Returns the peers of this node on the ring, nearest first. */
  ImmutableList<String> fingers() {
    refresh();
    return fingers;
  }

  /** Returns the nodes considered live. */
  ImmutableList<NodeRecord> live() {
    refresh();
    return live;
  }

  /** Returns the number of known nodes that are not permanently gone. */
  int knownCount() {
    refresh();
    return known.size();
  }

  /** Returns the sorted names of the live nodes in this node's failure domain. */
  ImmutableSortedSet<String> ownDomain() {
    refresh();
    return ownDomain;
  }

  /**
   * Returns the sorted names of the live nodes in this node's failure domain that are not leaving.
   */
  ImmutableSortedSet<String> nonLeavingInDomain() {
    refresh();
    return nonLeaving;
  }

  static String domain(NodeRecord node) {
    return node.getRegion() + "/" + node.getFailureDomain();
  }

  private void refresh() {
    if (refreshedMs == Long.MIN_VALUE || clock.nowMs() >= refreshedMs + REFRESH_MS) {
      refreshNow();
    }
  }

  /** Rereads the membership immediately. */
  void refreshNow() {
    long nowMs = clock.nowMs();
    refreshedMs = nowMs;
    live = ImmutableList.copyOf(membership.live());
    live.forEach(n -> known.put(n.getId().getName(), new KnownNode(n, nowMs)));
    known
        .values()
        .removeIf(s -> s.seenMs() < nowMs - RETENTION_MS || membership.isGone(s.node().getId()));
    fingers = fingersOf(membership.self().getId().getName());
    String ownDomainName = domain(membership.self());
    List<NodeRecord> domain = live.stream().filter(n -> domain(n).equals(ownDomainName)).toList();
    ownDomain = names(domain.stream());
    nonLeaving = names(domain.stream().filter(n -> n.getState() != NodeState.LEAVING));
  }

  private static ImmutableSortedSet<String> names(Stream<NodeRecord> nodes) {
    return nodes
        .map(n -> n.getId().getName())
        .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
  }

  private ImmutableList<String> fingersOf(String self) {
    List<String> ring =
        live.stream()
            .map(n -> n.getId().getName())
            .sorted(Comparator.comparingLong(PeerRing::position).thenComparing(n -> n))
            .toList();
    int ownIndex = ring.indexOf(self);
    ImmutableList.Builder<String> selected = ImmutableList.builder();
    for (int distance = 1; distance < ring.size(); distance *= 2) {
      selected.add(ring.get((ownIndex + distance + ring.size()) % ring.size()));
    }
    return selected.build();
  }

  private static long position(String name) {
    return Hashing.farmHashFingerprint64().hashString(name, StandardCharsets.UTF_8).asLong();
  }
}
