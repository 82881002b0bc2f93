package org.currantslip.core.quarantine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Ranks nodes for a part by rendezvous hashing. */
public final class NodeRanking {
  private NodeRanking() {}

  /** Returns these nodes in the order of a part. */
  public static List<String> rank(String service, String part, Collection<String> nodes) {
    return nodes.stream()
        .map(node -> new Ranked(node, score(service, part, node)))
        .sorted(Comparator.comparingLong(Ranked::score).thenComparing(Ranked::node))
        .map(Ranked::node)
        .toList();
  }

  private static long score(String service, String part, String node) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(service, StandardCharsets.UTF_8)
        .putChar('>')
        .putString(part, StandardCharsets.UTF_8)
        .putChar('>')
        .putString(node, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  private record Ranked(String node, long score) {}
}
