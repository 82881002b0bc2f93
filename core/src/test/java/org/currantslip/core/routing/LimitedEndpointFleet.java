package org.currantslip.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.allowance.RankedSenders;
import org.currantslip.core.allowance.RequestLimit;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.membership.Membership;
import org.currantslip.schema.EndpointLimits;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;

/** Simulates nodes that send to the endpoints of one service, of which one names a limit. */
final class LimitedEndpointFleet {
  static final long LIMIT_FROM_MS = 4_000;
  static final long LIMIT_UNTIL_MS = 24_000;
  static final long END_MS = 36_000;
  private static final String SERVICE = "reports";
  private static final int ENDPOINTS = 8;
  private static final int SLOTS = 16;
  private static final long RESPONSE_MS = 150;
  private static final long TICK_MS = 100;
  private static final long LATENCY_MS = 3;
  private static final long DETECTION_MS = 2_500;
  private static final double REQUESTS_PER_NODE_AND_S = 9.5;

  /** Time after a node's first response with a limit from which its requests count. */
  private static final long TOLD_MS = 500;

  private record Event(long atMs, long order, Runnable action) {}

  /** A request to the limited endpoint. */
  private record Sent(long atMs, boolean counts) {}

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final long startMs = clock.nowMs();
  private final Random random;
  private final double limitPerS;
  private final int nodeCount;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final List<Sent> sentToLimited = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private List<NodeRecord> live = List.of();
  private long eventCount;

  private LimitedEndpointFleet(int nodeCount, double limitPerS, long seed) {
    this.nodeCount = nodeCount;
    this.limitPerS = limitPerS;
    random = new Random(seed);
    IntStream.range(0, nodeCount).forEach(i -> startNode("n%03d".formatted(i)));
  }

  /** Plays a fleet in which a node is lost and a node restarts while the limit is named. */
  static LimitedEndpointFleet play(int nodeCount, double limitPerS, long seed) {
    LimitedEndpointFleet fleet = new LimitedEndpointFleet(nodeCount, limitPerS, seed);
    fleet.run();
    return fleet;
  }

  private void run() {
    if (nodeCount > 2) {
      at(12_000, this::loseNode);
      at(13_000, () -> startNode(nodes.keySet().iterator().next()));
    }
    scheduleArrival();
    at(0, this::tick);
    while (!events.isEmpty()) {
      Event event = events.remove();
      clock.advance(event.atMs() - clock.nowMs());
      event.action().run();
    }
  }

  /** The others notice the loss after a while. */
  private void loseNode() {
    nodes.remove(nodes.keySet().iterator().next());
    at(nowMs() + DETECTION_MS, this::onMembersChanged);
  }

  private long nowMs() {
    return clock.nowMs() - startMs;
  }

  private void at(long ms, Runnable action) {
    events.add(new Event(startMs + Math.max(ms, nowMs()), eventCount++, action));
  }

  private void tick() {
    nodes.forEach(
        (name, node) ->
            node.chooser
                .limitReport()
                .ifPresent(
                    report ->
                        nodes.values().stream()
                            .filter(n -> n != node)
                            .forEach(n -> at(nowMs() + LATENCY_MS, () -> n.receive(report)))));
    if (nowMs() < END_MS) {
      at(nowMs() + TICK_MS, this::tick);
    }
  }

  private void scheduleArrival() {
    double meanMs = 1_000 / (REQUESTS_PER_NODE_AND_S * nodeCount);
    long inMs = Math.round(-Math.log(1 - random.nextDouble()) * meanMs);
    if (nowMs() + inMs < END_MS) {
      at(nowMs() + inMs, this::onArrival);
    }
  }

  private void onArrival() {
    List<Node> running = List.copyOf(nodes.values());
    running.get(random.nextInt(running.size())).onRequest();
    scheduleArrival();
  }

  private void startNode(String name) {
    nodes.put(name, new Node(FakeMembership.node(name, 1, "domain")));
    onMembersChanged();
  }

  private void onMembersChanged() {
    live = nodes.values().stream().map(n -> n.self).toList();
  }

  private boolean isLimitNamed() {
    return nowMs() >= LIMIT_FROM_MS && nowMs() < LIMIT_UNTIL_MS;
  }

  /** Returns the largest number of counted requests in any span of this length after a time. */
  int mostCounted(long afterMs, long spanMs) {
    List<Long> counted =
        sentToLimited.stream()
            .filter(s -> s.counts() && s.atMs() >= afterMs && s.atMs() < LIMIT_UNTIL_MS)
            .map(Sent::atMs)
            .toList();
    int most = 0;
    int first = 0;
    for (int i = 0; i < counted.size(); i++) {
      while (counted.get(i) - counted.get(first) >= spanMs) {
        first++;
      }
      most = Math.max(most, i - first + 1);
    }
    return most;
  }

  /** Returns the requests a second that the limited endpoint got in this time. */
  double sentPerS(long fromMs, long untilMs) {
    long count =
        sentToLimited.stream().filter(s -> s.atMs() >= fromMs && s.atMs() < untilMs).count();
    return 1_000.0 * count / (untilMs - fromMs);
  }

  /** Returns the requests a second of each endpoint if all got the same. */
  double fairSharePerS() {
    return REQUESTS_PER_NODE_AND_S * nodeCount / ENDPOINTS;
  }

  private final class Node {
    private final ExpectedWaitChooser chooser =
        ExpectedWaitChooser.create(
            clock, "domain", random.nextLong(), RankedSenders.create(new View()));
    private final NodeRecord self;
    private long toldMs = Long.MAX_VALUE;

    private Node(NodeRecord self) {
      this.self = self;
      chooser.onEndpoints(
          IntStream.range(0, ENDPOINTS)
              .mapToObj(
                  i ->
                      EndpointRecord.newBuilder()
                          .setId("e" + i)
                          .setService(SERVICE)
                          .setStartedMs(1)
                          .setSlots(SLOTS)
                          .build())
              .toList());
    }

    /** The membership as all nodes see it. */
    private final class View implements Membership {
      @Override
      public NodeRecord self() {
        return self;
      }

      @Override
      public List<NodeRecord> live() {
        return live;
      }

      @Override
      public List<NodeRecord> entryNodes() {
        return live;
      }

      @Override
      public Optional<NodeRecord> find(String name) {
        return Optional.ofNullable(nodes.get(name)).map(n -> n.self);
      }

      @Override
      public boolean isGone(NodeId id) {
        return false;
      }
    }

    private void receive(EndpointLimits report) {
      chooser.onLimitReport(report);
    }

    private void onRequest() {
      EndpointQuery query = EndpointQuery.ofService(SERVICE, "", "", List.of(), Set.of());
      EndpointRecord endpoint = chooser.choose(query).orElseThrow();
      RequestTracker tracker = chooser.track(endpoint.getId(), query);
      tracker.onStarted(1);
      final long sentMs = clock.nowMs();
      boolean limited = endpoint.getId().equals("e0");
      if (limited) {
        sentToLimited.add(new Sent(nowMs(), toldMs <= nowMs() - TOLD_MS));
      }
      at(
          nowMs() + RESPONSE_MS,
          () -> {
            tracker.onFirstByte(RESPONSE_MS);
            tracker.onFinished(new CallResult(true, false, RESPONSE_MS, RESPONSE_MS));
            RequestLimit limit =
                limited && isLimitNamed() ? RequestLimit.of(limitPerS) : RequestLimit.none();
            chooser.onNotice(endpoint, new EndpointNotice(false, 0, limit), sentMs);
            if (limited && isLimitNamed()) {
              toldMs = Math.min(toldMs, nowMs());
            }
          });
    }
  }
}
