package org.currantslip.core.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
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
  static final String BAD_BODY = "bad";
  static final String STREAM_PATH = "/chat/x";
  static final String SAFE_PATH = "/lookup/x";
  static final String UNSAFE_PATH = "/record/x";
  private static final long CALLER_RETRY_MS = 100;
  private static final int CALLER_TRIES = 8;
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
                route("chat", "/chat/", RouteKind.STREAMING),
                route("lookup", "/lookup/", RouteKind.SAFE),
                route("record", "/record/", RouteKind.UNSAFE)),
            Map.of("key", new Account("account", OptionalInt.empty())),
            CallerLimits.defaults()));
    endpoints =
        new CrashingEndpoints(
            events, setup, id -> sentRequest(id).isBad(), this::announceEndpoints);
    names = IntStream.range(0, setup.nodes()).mapToObj(i -> "n" + i).toList();
    nodes = names.stream().map(name -> new Node(name, seed + names.indexOf(name))).toList();
    announceEndpoints();
  }

  private static Route route(String name, String prefix, RouteKind kind) {
    return new Route(
        name,
        "host",
        prefix,
        kind,
        List.of(new WeightedService(CrashingEndpoints.SERVICE, 1)),
        3,
        TIMEOUT_MS,
        1_000,
        600,
        1,
        false,
        true,
        List.of());
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

  /**
   * Sends requests without a prompt. Each bad request comes again all the time, a sound one when it
   * failed.
   *
   * @param badRequests number of requests that crash endpoints
   * @param badIntervalMs time between two tries of each of them
   * @param copies number of nodes that get each of these tries
   */
  void runPlain(long ms, String path, int badRequests, long badIntervalMs, int copies) {
    for (long i = 0; i < ms; i++) {
      if (i % setup.intervalMs() == 0) {
        sendPlain(path, "sound" + sent.size(), 1);
      }
      for (int bad = 0; bad < badRequests; bad++) {
        if ((i + bad * 7L) % badIntervalMs == 0) {
          for (int copy = 0; copy < copies; copy++) {
            sendPlain(path, BAD_BODY + bad, 1);
          }
        }
      }
      events.advance(1);
      if (clock.nowMs() % TICK_MS == 0) {
        nodes.forEach(Node::tick);
      }
    }
  }

  private void sendPlain(String path, String body, int tries) {
    String id = "r" + sent.size();
    Runnable retry =
        () -> {
          if (!body.startsWith(BAD_BODY) && tries < CALLER_TRIES) {
            events.after(CALLER_RETRY_MS, () -> sendPlain(path, body, tries + 1));
          }
        };
    Sent request = new Sent(List.of(), path, body, clock.nowMs(), retry);
    sent.put(id, request);
    nodes.get(random.nextInt(nodes.size())).start(id, request);
  }

  /** Returns the times at which endpoints crashed under a request with this body. */
  List<Long> crashesMs(String body) {
    return endpoints.crashes.stream()
        .filter(c -> sentRequest(c.requestId()).body.equals(body))
        .map(CrashingEndpoints.Arrival::atMs)
        .toList();
  }

  /** Returns how many times endpoints received a request with this body after a time. */
  long arrivalsAfter(String body, long ms) {
    return endpoints.arrivals.stream()
        .filter(a -> a.atMs() > ms && sentRequest(a.requestId()).body.equals(body))
        .count();
  }

  /** Returns the share of sound requests without a prompt of which a try was quarantined. */
  double refusedSoundShare() {
    Set<String> bodies = new HashSet<>();
    Set<String> refused = new HashSet<>();
    sent.values().stream()
        .filter(r -> !r.isBad())
        .forEach(
            r -> {
              bodies.add(r.body);
              if (r.isRefusedAsNotRun()) {
                refused.add(r.body);
              }
            });
    return refused.size() / (double) bodies.size();
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
    Sent request = new Sent(prompt, STREAM_PATH, "", clock.nowMs(), () -> {});
    sent.put(id, request);
    nodes.get(random.nextInt(nodes.size())).start(id, request);
  }

  private static PromptPart part(String id) {
    return new PromptPart(id, PART_TOKENS);
  }

  /** A request and its response. */
  static final class Sent implements CallerSink {
    private final List<PromptPart> prompt;
    private final String path;
    private final String body;
    private final long sentMs;
    private final Runnable retry;
    private final List<ResponseHead> heads = new ArrayList<>();
    private final List<ResponseHead> ends = new ArrayList<>();

    private Sent(List<PromptPart> prompt, String path, String body, long sentMs, Runnable retry) {
      this.prompt = prompt;
      this.path = path;
      this.body = body;
      this.sentMs = sentMs;
      this.retry = retry;
    }

    boolean isBad() {
      return body.startsWith(BAD_BODY) || prompt.stream().anyMatch(p -> p.id().equals(BAD_PART));
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
      if (end.code() != ResultCode.OK) {
        retry.run();
      }
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
              request.path,
              "text/plain",
              ByteString.copyFromUtf8(request.body),
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
