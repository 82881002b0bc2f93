package org.currantslip.core.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
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

/** Several nodes that forward prompts to a shared pool of endpoints, some of which crash them. */
final class ForwardingFleet {
  static final String BAD_PART = "bad";
  private static final long START_MS = 1_800_000_000_000L;
  private static final long TICK_MS = 5;
  private static final int DOCUMENTS = 20;
  private static final long PART_TOKENS = 200;
  private static final long TIMEOUT_MS = 4_000;

  final ManualClock clock = ManualClock.startingAt(START_MS);
  final CrashingEndpoints endpoints;
  final Map<String, Sent> sent = new LinkedHashMap<>();
  private final FakeEvents events = FakeEvents.on(clock);
  private final RouteHolder routes = RouteHolder.create();
  private final List<Node> nodes;
  private final Random random;

  ForwardingFleet(int nodeCount, int endpointCount, long seed) {
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
            events, endpointCount, id -> sentRequest(id).isBad(), this::announceEndpoints);
    nodes = IntStream.range(0, nodeCount).mapToObj(i -> new Node(nodeCount, seed + i)).toList();
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

  /** Sends a request every {@code intervalMs}, each to a random node. */
  void run(long ms, long intervalMs, double badShare) {
    for (long i = 0; i < ms; i++) {
      if (i % intervalMs == 0) {
        send(random.nextDouble() < badShare);
      }
      events.advance(1);
      if (clock.nowMs() % TICK_MS == 0) {
        nodes.forEach(Node::tick);
      }
    }
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
    String id = "r" + sent.size();
    List<PromptPart> prompt = new ArrayList<>();
    prompt.add(part("system"));
    prompt.add(part("document-" + random.nextInt(DOCUMENTS)));
    if (bad) {
      prompt.add(1 + random.nextInt(2), part(BAD_PART));
    }
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
    private final RequestEngine engine;

    private Node(int nodeCount, long seed) {
      chooser = ExpectedWaitChooser.create(clock, "fd", seed);
      queue = SlotQueue.create(clock, chooser::freeSlots, seed);
      engine =
          RequestEngine.forwarding(
              new ForwardPorts(
                  clock,
                  routes,
                  queue,
                  chooser,
                  RetryBudget.create(
                      clock, new RetryBudget.Bound(0.9, 52, 10_000), () -> nodeCount),
                  ServiceRollouts.create(NodeId.getDefaultInstance(), h -> {}),
                  SizeCascade.create(),
                  endpoints::start,
                  outcome -> {},
                  (event, id, fields) -> {}));
    }

    private void tick() {
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
              new ForwardedRequest("host", "key", List.of(), request.prompt, "")),
          request);
    }
  }
}
