package org.currantslip.node.poll;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.currantslip.schema.NodeRecord;

/** Spreads work over nodes by rendezvous hashing, so that all nodes agree without a message. */
final class Rendezvous {
  private Rendezvous() {}

  /** Returns whether {@code self} is among the {@code count} nodes for {@code key}. */
  static boolean isChosen(String self, String key, List<NodeRecord> nodes, int count) {
    return nodes.stream()
        .map(n -> n.getId().getName())
        .sorted(Comparator.comparingLong((String name) -> weight(name, key)).reversed())
        .limit(count)
        .anyMatch(self::equals);
  }

  private static long weight(String name, String key) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(name, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(key, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
