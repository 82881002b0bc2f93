package org.currantslip.core.allowance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.route.ServiceTerms;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;

/** Nodes with views of their own that all have work for one endpoint, which is cold. */
final class ColdEndpointFleet {
  static final long SETTLE_MS = 4_000;
  private static final String SERVICE = "engines";
  private static final long STEP_MS = 20;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final Random random;
  private final AllowanceOptions options;
  private final double coldPerS;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final List<Long> sentMs = new ArrayList<>();
  private EndpointRecord endpoint =
      EndpointRecord.newBuilder().setId("e").setService(SERVICE).setStartedMs(1).build();

  private ColdEndpointFleet(
      int nodeCount, double coldPerS, double excess, double slack, long seed) {
    random = new Random(seed);
    options = new AllowanceOptions(excess, slack);
    this.coldPerS = coldPerS;
    IntStream.range(0, nodeCount).forEach(i -> start("n%03d".formatted(i)));
  }

  static ColdEndpointFleet of(
      int nodeCount, double coldPerS, double excess, double slack, long seed) {
    return new ColdEndpointFleet(nodeCount, coldPerS, excess, slack, seed);
  }

  /** Starts a node, or starts it again under its name. */
  void start(String name) {
    Node node = new Node(FakeMembership.node(name, clock.nowMs(), "domain"));
    nodes.put(name, node);
    // Each node reads all join records at its start, and its peers hear of it.
    nodes.values().forEach(n -> n.known.put(name, node.self));
    nodes.forEach((other, n) -> node.known.put(other, n.self));
    nodes.values().forEach(n -> n.known.forEach((k, v) -> node.known.putIfAbsent(k, v)));
  }

  void kill(String name) {
    nodes.remove(name);
    nodes.values().forEach(n -> n.silent.add(name));
  }

  /** Cuts the fleet into two groups that do not hear of each other. */
  void cut() {
    List<String> names = new ArrayList<>(nodes.keySet());
    nodes.forEach(
        (name, n) ->
            names.stream()
                .filter(o -> names.indexOf(o) % 2 != names.indexOf(name) % 2)
                .forEach(n.silent::add));
  }

  void heal() {
    nodes.values().forEach(n -> n.silent.clear());
  }

  /** The nodes learn at different times that the endpoint is cold. */
  void becomeCold(int leftMs) {
    endpoint = endpoint.toBuilder().setColdLeftMs(leftMs).build();
    nodes.values().forEach(n -> n.learnsAtMs = clock.nowMs() + random.nextInt(300));
  }

  List<String> names() {
    return List.copyOf(nodes.keySet());
  }

  void pause(String name, long ms) {
    Objects.requireNonNull(nodes.get(name)).pausedUntilMs = clock.nowMs() + ms;
  }

  void run(long ms) {
    for (long untilMs = clock.nowMs() + ms; clock.nowMs() < untilMs; clock.advance(STEP_MS)) {
      List<Node> order = new ArrayList<>(nodes.values());
      Collections.shuffle(order, random);
      order.forEach(Node::step);
    }
  }

  long nowMs() {
    return clock.nowMs();
  }

  /** Returns the most requests of nodes that know of the cold endpoint in any one second. */
  int mostInOneSecond() {
    int most = 0;
    int first = 0;
    for (int i = 0; i < sentMs.size(); i++) {
      while (sentMs.get(i) - sentMs.get(first) >= 1_000) {
        first++;
      }
      most = Math.max(most, i - first + 1);
    }
    return most;
  }

  double sentPerS(long fromMs, long untilMs) {
    long count = sentMs.stream().filter(t -> t >= fromMs && t < untilMs).count();
    return 1_000.0 * count / (untilMs - fromMs);
  }

  private final class Node implements Membership {
    private final NodeRecord self;
    private final Map<String, NodeRecord> known = new TreeMap<>();
    private final Set<String> silent = new HashSet<>();
    private List<NodeRecord> knownList = List.of();
    private final FleetPlaces places = FleetPlaces.create(this, clock, SETTLE_MS);
    private final ColdEndpoints cold =
        ColdEndpoints.create(
            places,
            options,
            s -> new ServiceTerms(s, "", 0, 10_000, coldPerS, null),
            new SplittableRandom(random.nextLong()),
            (event, fields) -> {});
    private long learnsAtMs = clock.nowMs();
    private long pausedUntilMs;
    private boolean hasLearned;

    private Node(NodeRecord self) {
      this.self = self;
    }

    private void step() {
      if (clock.nowMs() < pausedUntilMs) {
        return;
      }
      if (learnsAtMs <= clock.nowMs()) {
        learnsAtMs = Long.MAX_VALUE;
        hasLearned = endpoint.getColdLeftMs() > 0;
        cold.onEndpoints(List.of(endpoint), clock.nowMs());
      }
      places.tick();
      while (hasLearned && cold.permits(endpoint, clock.nowMs())) {
        cold.onSent(endpoint, clock.nowMs());
        sentMs.add(clock.nowMs());
        if (sentMs.size() > 100_000) {
          throw new IllegalStateException("no bound holds");
        }
      }
    }

    @Override
    public NodeRecord self() {
      return self;
    }

    @Override
    public List<NodeRecord> live() {
      return silent.isEmpty()
          ? known()
          : known().stream().filter(n -> !silent.contains(n.getId().getName())).toList();
    }

    @Override
    public List<NodeRecord> known() {
      if (known.size() != knownList.size()) {
        knownList = List.copyOf(known.values());
      }
      return knownList;
    }

    @Override
    public List<NodeRecord> entryNodes() {
      return live();
    }

    @Override
    public Optional<NodeRecord> find(String name) {
      return Optional.ofNullable(known.get(name));
    }

    @Override
    public boolean isGone(NodeId id) {
      return false;
    }
  }
}
