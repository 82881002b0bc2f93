package org.currantslip.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.currantslip.schema.NodeRecord;

/**
 * Chooses which nodes get this node's heartbeats.
 *
 * <p>Nodes stand on a ring in the order of the hash of their names. A node watches its next
 * successors on the whole ring and on the ring of its failure domain, so each node is watched by as
 * many predecessors on both.
 */
final class HeartbeatRing {
  private HeartbeatRing() {}

  /** Returns the names of the nodes to watch; {@code nodes} holds this node too. */
  static Set<String> targets(NodeRecord self, List<NodeRecord> nodes, MembershipOptions options) {
    List<NodeRecord> ring =
        nodes.stream().sorted(Comparator.comparingLong(HeartbeatRing::place)).toList();
    List<NodeRecord> domain =
        ring.stream().filter(n -> n.getFailureDomain().equals(self.getFailureDomain())).toList();
    Set<String> names = new LinkedHashSet<>(successors(self, ring, options.ringTargets()));
    names.addAll(successors(self, domain, options.domainTargets()));
    return names;
  }

  private static List<String> successors(NodeRecord self, List<NodeRecord> ring, int count) {
    String name = self.getId().getName();
    int at = ring.stream().map(n -> n.getId().getName()).toList().indexOf(name);
    List<String> names = new ArrayList<>();
    for (int i = 1; i < ring.size() && names.size() < count; i++) {
      names.add(ring.get((at + i) % ring.size()).getId().getName());
    }
    return names;
  }

  private static long place(NodeRecord node) {
    return Hashing.murmur3_128()
        .hashString(node.getId().getName(), StandardCharsets.UTF_8)
        .asLong();
  }
}
