package org.currantslip.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Ranks nodes for an object by rendezvous hashing. */
public final class NodeRanking {
  private NodeRanking() {}

  /** Returns these nodes in the order of an object; the group tells objects of one name apart. */
  public static List<String> rank(String group, String object, Collection<String> nodes) {
    return nodes.stream()
        .map(node -> new Ranked(node, score(group, object, node)))
        .sorted(Comparator.comparingLong(Ranked::score).thenComparing(Ranked::node))
        .map(Ranked::node)
        .toList();
  }

  private static long score(String group, String object, String node) {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(group, StandardCharsets.UTF_8)
        .putChar('>')
        .putString(object, StandardCharsets.UTF_8)
        .putChar('>')
        .putString(node, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  private record Ranked(String node, long score) {}
}
