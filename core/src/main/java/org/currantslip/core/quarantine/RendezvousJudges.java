package org.currantslip.core.quarantine;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Selects the nodes that judge a part by rendezvous hashing. */
public final class RendezvousJudges {
  private static final int JUDGES = 2;

  private RendezvousJudges() {}

  /** Returns the judges of a part among these nodes, the one that runs trials first. */
  public static List<String> select(String service, String part, Collection<String> nodes) {
    return nodes.stream()
        .map(node -> new Ranked(node, score(service, part, node)))
        .sorted(Comparator.comparingLong(Ranked::score).thenComparing(Ranked::node))
        .limit(JUDGES)
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
