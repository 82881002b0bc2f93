package org.currantslip.core.directory;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.currantslip.core.membership.NodeReport;
import org.currantslip.core.route.Homes;
import org.currantslip.core.route.RouteTable;
import org.currantslip.schema.NodeRecord;

/**
 * The nodes that callers may be directed to at one time; immutable.
 *
 * <p>Callers pick one of the named nodes at random. So that each node gets requests in proportion
 * to what it can carry, it is named with that probability: by the hash of its name, of the name of
 * the answering node and of a period of several seconds. A change of one node's weight moves that
 * node only.
 */
public final class NodeDirectory {
  /** Callers take no more addresses. */
  private static final int MAX_ADDRESSES = 64;

  /** Leaves callers another node to turn to. */
  private static final int MIN_ADDRESSES = 4;

  /** Time for which the answers of a node stay the same while nothing changes. */
  private static final long PERIOD_MS = 10_000;

  /** Share of its part of the fleet's capacity with which a failure domain serves its callers. */
  private static final double MIN_DOMAIN_SHARE = 0.75;

  /** A serving node and what it reports of itself. */
  public record Entry(NodeRecord node, NodeReport report) {}

  private record Weighted(NodeRecord node, double weight, double score) {}

  private final ImmutableList<Weighted> nodes;
  private final boolean weighted;
  private final int knownNodes;
  private final RouteTable routes;

  private NodeDirectory(
      ImmutableList<Weighted> nodes, boolean weighted, int knownNodes, RouteTable routes) {
    this.nodes = nodes;
    this.weighted = weighted;
    this.knownNodes = knownNodes;
    this.routes = routes;
  }

  /** Returns the directory of a node that knows no other. */
  public static NodeDirectory empty() {
    return new NodeDirectory(ImmutableList.of(), false, 0, RouteTable.none());
  }

  /**
   * Creates a directory.
   *
   * @param answering name of the node that answers
   * @param entries serving nodes in the order of their names
   * @param knownNodes number of other nodes that are considered live, serving or not
   */
  public static NodeDirectory of(
      String answering, List<Entry> entries, int knownNodes, RouteTable routes, long nowMs) {
    List<Entry> reaching =
        entries.stream().filter(e -> !e.report().endpointsUnreachable()).toList();
    List<Entry> usable = reaching.isEmpty() ? entries : reaching;
    double[] weights = NodeWeights.of(usable.stream().map(e -> e.report().capacity()).toList());
    boolean weighted = usable.stream().anyMatch(e -> NodeWeights.isKnown(e.report().capacity()));
    long period = (nowMs + Math.floorMod(hash(answering), PERIOD_MS)) / PERIOD_MS;
    ImmutableList.Builder<Weighted> nodes = ImmutableList.builder();
    for (int i = 0; i < weights.length; i++) {
      NodeRecord node = usable.get(i).node();
      double uniform =
          weighted ? uniform(node.getId().getName() + '>' + answering + '>' + period) : 0;
      nodes.add(new Weighted(node, weights[i], uniform / weights[i]));
    }
    return new NodeDirectory(nodes.build(), weighted, knownNodes, routes);
  }

  private static long hash(String text) {
    return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
  }

  /** Returns a number from 0 to 1 that depends on a text only. */
  private static double uniform(String text) {
    return (hash(text) >>> 11) * 0x1.0p-53;
  }

  /** Returns the nodes to use for a look-up. */
  public DirectoryAnswer answer(LookUp lookUp) {
    List<Weighted> allowed = inHomes(lookUp);
    List<Weighted> named = weighted ? select(nearby(allowed, lookUp.failureDomain())) : allowed;
    ImmutableList<String> addresses =
        named.stream()
            .map(n -> n.node().getCallerAddress())
            .collect(ImmutableList.toImmutableList());
    LookUpResult none = knownNodes > 0 ? LookUpResult.NONE_SERVING : LookUpResult.FLEET_UNKNOWN;
    return new DirectoryAnswer(addresses, addresses.isEmpty() ? none : LookUpResult.ANSWERED);
  }

  private List<Weighted> inHomes(LookUp lookUp) {
    Homes homes = routes.homesOf(lookUp.host());
    if (!homes.restricted()) {
      return nodes;
    }
    List<Weighted> allowed =
        where(
            nodes,
            n ->
                homes.allows(n.node().getRegion()) || n.node().getRegion().equals(lookUp.region()));
    return allowed.isEmpty() ? nodes : allowed;
  }

  private static List<Weighted> where(List<Weighted> nodes, Predicate<Weighted> condition) {
    return nodes.stream().filter(condition).toList();
  }

  /** Returns the nodes of a failure domain if they can carry its part, else all of these. */
  private static List<Weighted> nearby(List<Weighted> nodes, String failureDomain) {
    List<Weighted> domain = where(nodes, n -> n.node().getFailureDomain().equals(failureDomain));
    long domains = nodes.stream().map(n -> n.node().getFailureDomain()).distinct().count();
    boolean suffices =
        domain.size() >= MIN_ADDRESSES
            && total(domain) >= MIN_DOMAIN_SHARE * total(nodes) / domains;
    return suffices ? domain : nodes;
  }

  private static double total(List<Weighted> nodes) {
    return nodes.stream().mapToDouble(Weighted::weight).sum();
  }

  /** Returns a sample in which each node is with a probability in proportion to its weight. */
  private static List<Weighted> select(List<Weighted> nodes) {
    double largest = nodes.stream().mapToDouble(Weighted::weight).max().orElse(1);
    List<Weighted> byScore =
        nodes.stream().sorted(Comparator.comparingDouble(Weighted::score)).toList();
    List<Weighted> sample = new ArrayList<>();
    for (Weighted node : byScore) {
      boolean isDrawn = node.score() * largest < 1;
      if (sample.size() < MAX_ADDRESSES && (isDrawn || sample.size() < MIN_ADDRESSES)) {
        sample.add(node);
      }
    }
    sample.sort(Comparator.comparing(n -> n.node().getId().getName()));
    return sample;
  }
}
