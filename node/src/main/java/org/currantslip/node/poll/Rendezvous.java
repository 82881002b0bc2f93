package org.currantslip.node.poll;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.currantslip.schema.NodeRecord;

/** Assigns work to nodes by rendezvous hashing, so that all nodes agree without communication. */
final class Rendezvous {
  private Rendezvous() {}

  /** Returns whether {@code node} is among the {@code count} nodes assigned to {@code key}. */
  static boolean isAssigned(String node, String key, List<NodeRecord> nodes, int count) {
    return nodes.stream()
        .map(n -> n.getId().getName())
        .sorted(Comparator.comparingLong((String name) -> score(name, key)).reversed())
        .limit(count)
        .anyMatch(node::equals);
  }

  private static long score(String name, String key) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(name, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(key, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
