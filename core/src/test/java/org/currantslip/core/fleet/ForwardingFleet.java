package org.currantslip.core.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ForwardPorts;
import org.currantslip.core.request.ForwardedRequest;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.CallerLimits;
import org.currantslip.core.route.PromptPart;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteHolder;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.route.WeightedService;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.PeerFrame;

/** Several nodes that forward prompts to a shared pool of endpoints, some of which crash them. */
final class ForwardingFleet {
  static final String BAD_PART = "bad";
  private static final long START_MS = 1_800_000_000_000L;
  private static final long TICK_MS = 5;
  private static final long PART_TOKENS = 200;
  private static final long TIMEOUT_MS = 4_000;

  final ManualClock clock = ManualClock.startingAt(START_MS);
  final CrashingEndpoints endpoints;
  final Map<String, Sent> sent = new LinkedHashMap<>();
  private final Setup setup;
  private final FakeEvents events = FakeEvents.on(clock);
  private final RouteHolder routes = RouteHolder.create();
  private final FakePeerNetwork network = FakePeerNetwork.create(events);
  private final List<String> names;
  private final List<Node> nodes;
  private final Random random;

  /**
   * Shape of a fleet and its traffic.
   *
   * @param slots requests that an endpoint takes at once
   * @param restartMs time from a crash of an endpoint to its next start
   * @param documents prompt parts of which each request has one
   * @param intervalMs time between two requests
   * @param badShare share of the requests that crash endpoints
   */
  record Setup(
      int nodes,
      int endpoints,
      int slots,
      long restartMs,
      int documents,
      long intervalMs,
      double badShare) {
    /** Endpoints are many, and few of them are down at a time. */
    static Setup large() {
      return new Setup(8, 24, 8, 2_500, 20, 10, 0.06);
    }

    /** Endpoints are few and hold most requests of the fleet, so that all of them soon crash. */
    static Setup collapsing() {
      return new Setup(6, 8, 128, 1_500, 1_000, 15, 0.1);
    }
  }

  ForwardingFleet(Setup setup, long seed) {
    this.setup = setup;
    random = new Random(seed);
    routes.replaceIfNewer(
        RouteTable.of(
            1,
            List.of(
                new Route(
                    "chat",
                    "host",
                    "/chat/",
                    RouteKind.STREAMING,
                    List.of(new WeightedService(CrashingEndpoints.SERVICE, 1)),
                    3,
                    TIMEOUT_MS,
                    1_000,
                    600,
                    1,
                    false,
                    true,
                    List.of())),
            Map.of("key", new Account("account", OptionalInt.empty())),
            CallerLimits.defaults()));
    endpoints =
        new CrashingEndpoints(
            events, setup, id -> sentRequest(id).isBad(), this::announceEndpoints);
    names = IntStream.range(0, setup.nodes()).mapToObj(i -> "n" + i).toList();
    nodes = names.stream().map(name -> new Node(name, seed + names.indexOf(name))).toList();
    announceEndpoints();
  }

  private Sent sentRequest(String id) {
    Sent request = sent.get(id);
    if (request == null) {
      throw new IllegalArgumentException(id);
    }
    return request;
  }

  private void announceEndpoints() {
    nodes.forEach(n -> n.chooser.onEndpoints(endpoints.records()));
  }

  /** Sends requests to random nodes. */
  void run(long ms) {
    run(ms, setup.badShare());
  }

  private void run(long ms, double badShare) {
    for (long i = 0; i < ms; i++) {
      if (i % setup.intervalMs() == 0) {
        send(random.nextDouble() < badShare);
      }
      events.advance(1);
      if (clock.nowMs() % TICK_MS == 0) {
        nodes.forEach(Node::tick);
      }
    }
  }

  /** Sends requests without the bad part. */
  void runCalm(long ms) {
    run(ms, 0);
  }

  /** Cuts a node off from the other nodes; it still reaches the endpoints. */
  void cutOff(int node) {
    setCut(names.get(node), true);
  }

  /** Restores the links of a node, over which both sides send what they know. */
  void reconnect(int node) {
    String name = names.get(node);
    setCut(name, false);
    names.stream()
        .filter(other -> !other.equals(name))
        .forEach(
            other -> {
              node(other).peers.send(name, node(other).quarantine.snapshot());
              node(name).peers.send(other, node(name).quarantine.snapshot());
            });
  }

  private void setCut(String name, boolean cut) {
    names.stream()
        .filter(other -> !other.equals(name))
        .forEach(other -> network.setCut(name, other, cut));
  }

  private Node node(String name) {
    return nodes.get(names.indexOf(name));
  }

  /** Returns how many parts each node has under quarantine. */
  List<Integer> quarantinedCounts() {
    return nodes.stream().map(n -> n.quarantine.quarantinedCount()).toList();
  }

  /** Returns how many times endpoints received a request with the bad part after a time. */
  long badArrivalsAfter(long ms) {
    return endpoints.arrivals.stream()
        .filter(a -> a.atMs() > ms && sentRequest(a.requestId()).isBad())
        .count();
  }

  /** Returns the share of the requests sent from a time on whose answers have begun. */
  double begunShare(Predicate<Sent> selection, long fromMs) {
    return sent.values().stream()
        .filter(selection)
        .filter(r -> r.sentMs >= fromMs)
        .mapToInt(r -> r.isBegun() ? 1 : 0)
        .average()
        .orElseThrow();
  }

  private void send(boolean bad) {
    List<PromptPart> prompt = new ArrayList<>();
    prompt.add(part("system"));
    prompt.add(part("document-" + random.nextInt(setup.documents())));
    if (bad) {
      prompt.add(1 + random.nextInt(2), part(BAD_PART));
    }
    String id = "r" + sent.size();
    prompt.add(part(id));
    Sent request = new Sent(prompt, clock.nowMs());
    sent.put(id, request);
    nodes.get(random.nextInt(nodes.size())).start(id, request);
  }

  private static PromptPart part(String id) {
    return new PromptPart(id, PART_TOKENS);
  }

  /** A request and its response. */
  static final class Sent implements CallerSink {
    private final List<PromptPart> prompt;
    private final long sentMs;
    private final List<ResponseHead> heads = new ArrayList<>();
    private final List<ResponseHead> ends = new ArrayList<>();

    private Sent(List<PromptPart> prompt, long sentMs) {
      this.prompt = prompt;
      this.sentMs = sentMs;
    }

    boolean isBad() {
      return prompt.stream().anyMatch(p -> p.id().equals(BAD_PART));
    }

    long sentMs() {
      return sentMs;
    }

    boolean isRefusedAsNotRun() {
      return ends.size() == 1
          && ends.get(0).code() == ResultCode.PROMPT_QUARANTINED
          && ends.get(0).ran() == Ran.NO
          && ends.get(0).httpStatus() == 503
          && ends.get(0).retryAfterMs() > 0;
    }

    boolean isBegun() {
      return heads.stream().anyMatch(h -> h.code() == ResultCode.OK);
    }

    @Override
    public void head(ResponseHead head) {
      heads.add(head);
    }

    @Override
    public void data(ByteString data) {}

    @Override
    public void finish(ResponseHead end) {
      ends.add(end);
    }
  }

  private final class Node {
    private final ExpectedWaitChooser chooser;
    private final SlotQueue queue;
    private final FleetQuarantinePeers peers;
    private final PromptQuarantine quarantine;
    private final RequestEngine engine;

    private Node(String name, long seed) {
      peers = new FleetQuarantinePeers(name, names, network.join(name, this::onFrame));
      quarantine = PromptQuarantine.create(clock, peers);
      chooser = ExpectedWaitChooser.create(clock, "fd", seed);
      queue = SlotQueue.create(clock, chooser::freeSlots, seed);
      engine =
          RequestEngine.forwarding(
              new ForwardPorts(
                  clock,
                  routes,
                  queue,
                  chooser,
                  RetryBudget.create(clock, new RetryBudget.Bound(0.9, 52, 10_000), names::size),
                  ServiceRollouts.create(NodeId.getDefaultInstance(), h -> {}),
                  SizeCascade.create(),
                  quarantine,
                  endpoints::start,
                  outcome -> {},
                  (event, id, fields) -> {}));
    }

    private CompletableFuture<PeerFrame> onFrame(String from, PeerFrame frame) {
      quarantine.onUpdate(from, frame.getQuarantine());
      return new CompletableFuture<>();
    }

    private void tick() {
      quarantine.tick();
      queue.tick();
      engine.tick();
    }

    private void start(String id, Sent request) {
      engine.start(
          new RouterRequest(
              id,
              "",
              "",
              "",
              "",
              "POST",
              "/chat/x",
              "text/plain",
              ByteString.EMPTY,
              true,
              null,
              true,
              "",
              "",
              clock.nowMs() + TIMEOUT_MS,
              0,
              PART_TOKENS * request.prompt.size(),
              100,
              0,
              new ForwardedRequest("host", "key", List.of(), request.prompt, "", clock.nowMs())),
          request);
    }
  }
}
