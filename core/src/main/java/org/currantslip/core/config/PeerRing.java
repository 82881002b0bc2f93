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
 * The bounded set of peers that this node talks to.
 *
 * <p>Nodes stand on a ring in order of the hash of their names; the peers are those at distances 1,
 * 2, 4 and so on, so that news crosses the fleet in a logarithmic number of hops.
 */
final class PeerRing {
  private static final long REFRESH_MS = 500;
  private static final long MEMORY_MS = 3_600_000;

  private final Membership membership;
  private final Clock clock;
  private final Map<String, Sighting> known = new HashMap<>();
  private ImmutableList<String> fingers = ImmutableList.of();
  private ImmutableSortedSet<String> ownDomain = ImmutableSortedSet.of();
  private ImmutableSortedSet<String> staying = ImmutableSortedSet.of();
  private ImmutableList<NodeRecord> live = ImmutableList.of();
  private long refreshedMs = Long.MIN_VALUE;

  private PeerRing(Membership membership, Clock clock) {
    this.membership = membership;
    this.clock = clock;
  }

  private record Sighting(NodeRecord node, long seenMs) {}

  static PeerRing create(Membership membership, Clock clock) {
    return new PeerRing(membership, clock);
  }

  /** Returns the peers of this node, nearest first. */
  ImmutableList<String> fingers() {
    refresh();
    return fingers;
  }

  /** Returns the nodes believed alive. */
  ImmutableList<NodeRecord> live() {
    refresh();
    return live;
  }

  /** Returns how many nodes are known and not gone for good. */
  int knownCount() {
    refresh();
    return known.size();
  }

  /** Returns the names of the live nodes of this node's failure domain, in order. */
  ImmutableSortedSet<String> ownDomain() {
    refresh();
    return ownDomain;
  }

  /** Returns the names of those of them that are not leaving, in order. */
  ImmutableSortedSet<String> stayingInDomain() {
    refresh();
    return staying;
  }

  static String domain(NodeRecord node) {
    return node.getRegion() + "/" + node.getFailureDomain();
  }

  private void refresh() {
    if (refreshedMs == Long.MIN_VALUE || clock.nowMs() >= refreshedMs + REFRESH_MS) {
      renew();
    }
  }

  /** Reads the membership again at once. */
  void renew() {
    long now = clock.nowMs();
    refreshedMs = now;
    live = ImmutableList.copyOf(membership.live());
    live.forEach(n -> known.put(n.getId().getName(), new Sighting(n, now)));
    known
        .values()
        .removeIf(s -> s.seenMs() < now - MEMORY_MS || membership.isGone(s.node().getId()));
    fingers = fingersOf(membership.self().getId().getName());
    String own = domain(membership.self());
    List<NodeRecord> domain = live.stream().filter(n -> domain(n).equals(own)).toList();
    ownDomain = names(domain.stream());
    staying = names(domain.stream().filter(n -> n.getState() != NodeState.LEAVING));
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
    int at = ring.indexOf(self);
    ImmutableList.Builder<String> picked = ImmutableList.builder();
    for (int distance = 1; distance < ring.size(); distance *= 2) {
      picked.add(ring.get((at + distance + ring.size()) % ring.size()));
    }
    return picked.build();
  }

  private static long position(String name) {
    return Hashing.farmHashFingerprint64().hashString(name, StandardCharsets.UTF_8).asLong();
  }
}
