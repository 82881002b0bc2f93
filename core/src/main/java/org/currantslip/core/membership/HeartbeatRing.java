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
 * Selects the nodes that receive this node's heartbeats.
 *
 * <p>Nodes form a ring ordered by the hash of their names. A node monitors its successors on the
 * ring of the whole fleet and on the ring of its failure domain, so each node is monitored by the
 * same number of predecessors on each ring.
 */
final class HeartbeatRing {
  private HeartbeatRing() {}

  /** Returns the names of the nodes to monitor; {@code nodes} must include {@code self}. */
  static Set<String> targets(NodeRecord self, List<NodeRecord> nodes, MembershipOptions options) {
    List<NodeRecord> ring =
        nodes.stream().sorted(Comparator.comparingLong(HeartbeatRing::ringPosition)).toList();
    List<NodeRecord> domain =
        ring.stream().filter(n -> n.getFailureDomain().equals(self.getFailureDomain())).toList();
    Set<String> names = new LinkedHashSet<>(successors(self, ring, options.ringTargets()));
    names.addAll(successors(self, domain, options.domainTargets()));
    return names;
  }

  private static List<String> successors(NodeRecord self, List<NodeRecord> ring, int count) {
    String name = self.getId().getName();
    int index = ring.stream().map(n -> n.getId().getName()).toList().indexOf(name);
    List<String> names = new ArrayList<>();
    for (int i = 1; i < ring.size() && names.size() < count; i++) {
      names.add(ring.get((index + i) % ring.size()).getId().getName());
    }
    return names;
  }

  private static long ringPosition(NodeRecord node) {
    return Hashing.murmur3_128()
        .hashString(node.getId().getName(), StandardCharsets.UTF_8)
        .asLong();
  }
}
