package org.currantslip.core.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.core.reach.EndpointReach;
import org.currantslip.core.reach.PeerReports;
import org.currantslip.core.request.BodyFraming;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;
import org.currantslip.core.request.ForwardPorts;
import org.currantslip.core.request.ForwardedRequest;
import org.currantslip.core.request.HeaderField;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RequestHandle;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.CallerLimits;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteHolder;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.route.WeightedService;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.jspecify.annotations.Nullable;

/** Nodes with endpoints that answer after a fixed time, unless a node is cut off from them. */
final class RelayFleet {
  static final String SAFE = "/safe/";
  static final String UNSAFE = "/unsafe/";
  static final String STREAM = "/stream/";
  static final String LONG_STREAM = "/long/";
  static final int EVENTS = 10;
  static final long ATTEMPTS = 3;
  static final int LONG_EVENTS = 200;

  /** Home region of endpoints, in which there is no node. */
  static final String ENDPOINT_REGION = "r9";

  private static final int DOMAINS = 4;
  private static final int MAX_ROUNDS_UNTIL_CUT = 200;
  private static final long ANSWER_MS = 60;
  private static final long EVENT_MS = 20;
  private static final long LONG_EVENT_MS = 100;
  private static final long TICK_MS = 5;
  private static final long DEADLINE_MS = 3_000;
  private static final long LONG_DEADLINE_MS = 30_000;

  /** How the calls of a node that is cut off end. */
  enum Cut {
    NONE(0),
    REFUSED(1),
    HANGING(400),
    SILENT(-1),
    /** New calls are refused, and open ones break. */
    RESET(1),
    /** New calls hang, and open ones are silent. */
    DEAF(400);

    private final long failsAfterMs;

    Cut(long failsAfterMs) {
      this.failsAfterMs = failsAfterMs;
    }
  }

  final ManualClock clock = ManualClock.startingAt(1_000_000_000);
  final FakeEvents events = FakeEvents.on(clock);
  final FakePeerNetwork network = FakePeerNetwork.create(events);
  final List<Node> nodes;
  final List<String> runs = new ArrayList<>();
  int cancelledCalls;
  RelayOptions options = RelayOptions.ofCores(1);
  String eventText = "x";
  String contentType = "text/event-stream";
  int status = 200;
  private final RouteHolder routes = RouteHolder.create();
  private final Set<String> unreachable = new HashSet<>();
  private final Random random = new Random(7);
  private int lastId;

  RelayFleet(int nodeCount, ImmutableSet<String> homes) {
    routes.replaceIfNewer(
        RouteTable.of(
            1,
            List.of(
                route(SAFE, RouteKind.SAFE, homes),
                route(UNSAFE, RouteKind.UNSAFE, homes),
                route(STREAM, RouteKind.STREAMING, homes),
                route(LONG_STREAM, RouteKind.STREAMING, homes)),
            Map.of("key", new Account("account", OptionalInt.empty())),
            CallerLimits.defaults()));
    nodes = IntStream.range(0, nodeCount).mapToObj(Node::new).toList();
  }

  private static Route route(String path, RouteKind kind, ImmutableSet<String> homes) {
    return new Route(
        path,
        "host",
        path,
        kind,
        List.of(new WeightedService("s", 1)),
        kind == RouteKind.UNSAFE ? 1 : (int) ATTEMPTS,
        deadlineMs(path),
        1_000,
        600,
        1,
        false,
        true,
        List.of(),
        homes);
  }

  private static long deadlineMs(String path) {
    return path.startsWith(LONG_STREAM) ? LONG_DEADLINE_MS : DEADLINE_MS;
  }

  void run(long ms) {
    for (long i = 0; i < ms; i++) {
      events.advance(1);
      if (clock.nowMs() % TICK_MS == 0) {
        nodes.forEach(Node::tick);
      }
    }
  }

  /** Cuts a node off and sends it requests until it knows. */
  Node cutOff(int index) {
    Node node = nodes.get(index);
    node.cut = Cut.REFUSED;
    for (int i = 0; i < MAX_ROUNDS_UNTIL_CUT && !node.reach.isCut(); i++) {
      node.send(SAFE);
      nodes.get(nodes.size() - 1).send(SAFE);
      run(50);
    }
    assertThat(node.reach.isCut()).isTrue();
    run(500);
    runs.clear();
    return node;
  }

  private EndpointCall call(Node node, EndpointRequest request, EndpointListener listener) {
    Cut cut = node.cut;
    if (cut != Cut.NONE) {
      if (cut.failsAfterMs >= 0) {
        events.after(
            cut.failsAfterMs, () -> listener.onFailure(CallFailure.NOT_SENT, "no connection"));
      }
      return () -> {};
    }
    runs.add(request.correlation());
    OpenCall call = new OpenCall(listener);
    node.openCalls.add(call);
    boolean isLong = request.path().startsWith(LONG_STREAM);
    int eventCount = isLong ? LONG_EVENTS : request.path().startsWith(STREAM) ? EVENTS : 0;
    long eventMs = isLong ? LONG_EVENT_MS : EVENT_MS;
    call.after(ANSWER_MS, () -> listener.onHead(head(request)));
    for (int i = 1; i <= eventCount; i++) {
      String event = "id: %d\ndata: %s\n\n".formatted(i, eventText);
      call.after(ANSWER_MS + i * eventMs, () -> listener.onData(ByteString.copyFromUtf8(event)));
    }
    if (eventCount == 0) {
      call.after(ANSWER_MS, () -> listener.onData(ByteString.copyFromUtf8("done")));
    }
    long endMs = ANSWER_MS + (eventCount == 0 ? 1 : (eventCount + 1) * eventMs);
    call.after(
        endMs,
        () -> {
          node.openCalls.remove(call);
          listener.onEnd(EndpointUsage.none());
        });
    return () -> {
      call.lost = true;
      node.openCalls.remove(call);
      cancelledCalls++;
    };
  }

  private EndpointResponseHead head(EndpointRequest request) {
    return new EndpointResponseHead(
        status,
        contentType,
        request.correlation(),
        false,
        true,
        OptionalDouble.empty(),
        BodyFraming.LENGTH,
        EndpointNotice.none(),
        null,
        List.of(new HeaderField("Seal", "of " + request.correlation())));
  }

  /** A call that an endpoint runs; nothing arrives of one that is lost. */
  private final class OpenCall {
    private final EndpointListener listener;
    private boolean lost;

    private OpenCall(EndpointListener listener) {
      this.listener = listener;
    }

    private void after(long ms, Runnable event) {
      events.after(
          ms,
          () -> {
            if (!lost) {
              event.run();
            }
          });
    }
  }

  /** A caller's request and what came of it. */
  static final class Sent implements CallerSink {
    final long sentMs;
    final StringBuilder text = new StringBuilder();
    final List<ResponseHead> heads = new ArrayList<>();
    long backlogBytes;
    @Nullable ResponseHead end;
    @Nullable RequestHandle handle;

    private Sent(long sentMs) {
      this.sentMs = sentMs;
    }

    boolean isServed() {
      return end != null && end.code() == ResultCode.OK;
    }

    ResponseHead end() {
      if (end == null) {
        throw new AssertionError("no response");
      }
      return end;
    }

    void leave() {
      if (handle != null) {
        handle.onCallerDisconnected();
      }
    }

    @Override
    public long backlogBytes() {
      return backlogBytes;
    }

    @Override
    public void head(ResponseHead head) {
      heads.add(head);
    }

    @Override
    public void data(ByteString data) {
      text.append(data.toStringUtf8());
    }

    @Override
    public void finish(ResponseHead head) {
      end = head;
    }
  }

  /** A node; its region is that of its failure domain. */
  final class Node {
    final String name;
    final List<Sent> sent = new ArrayList<>();
    Cut cut = Cut.NONE;
    boolean serving = true;
    final EndpointReach reach;
    final RelayClient client;
    final RelayServer server;
    private final NodeRecord self;
    private final ExpectedWaitChooser chooser;
    private final SlotQueue queue;
    private final RequestEngine engine;

    private final Set<OpenCall> openCalls = new LinkedHashSet<>();

    private Node(int index) {
      name = "n" + index;
      self =
          NodeRecord.newBuilder()
              .setId(NodeId.newBuilder().setName(name).setIncarnation(1 + index))
              .setFailureDomain("fd" + index % DOMAINS)
              .setRegion("r" + index % DOMAINS)
              .build();
      chooser = ExpectedWaitChooser.create(clock, self.getFailureDomain(), index);
      queue = SlotQueue.create(clock, chooser::freeSlots, index);
      PeerNetwork peers = network.join(name, this::onFrame);
      PeerReports[] reports = new PeerReports[1];
      reports[0] =
          PeerReports.create(
              clock,
              () -> reports[0].onReport(nodes.get(random.nextInt(nodes.size())).reach.report()));
      reach =
          EndpointReach.create(
              clock,
              reports[0],
              (from, to, sinceMs) -> {
                if (to.isUnreachable()) {
                  unreachable.add(name);
                  chooser.forgiveFailures(sinceMs);
                } else {
                  unreachable.remove(name);
                }
              });
      RelayCounts counts = RelayCounts.create();
      client = RelayClient.create(clock, peers, self, options, counts, this::reachingPeers);
      engine =
          RequestEngine.forwarding(
              new ForwardPorts(
                  clock,
                  routes,
                  queue,
                  chooser,
                  RetryBudget.create(
                      clock, new RetryBudget.Bound(0.9, 52, 10_000), () -> nodes.size()),
                  ServiceRollouts.create(self.getId(), h -> {}),
                  SizeCascade.create(),
                  PromptQuarantine.create(clock, QuarantinePeers.none(name)),
                  (endpoint, request, listener) -> call(this, request, listener),
                  outcome -> {},
                  (event, id, fields) -> {},
                  reach,
                  client));
      server =
          RelayServer.create(
              clock,
              peers,
              options,
              counts,
              engine,
              new RelayServer.Host(reach, () -> serving, () -> 0),
              (event, id, fields) -> {});
      List<EndpointRecord> endpoints =
          IntStream.range(0, 60)
              .mapToObj(
                  i ->
                      EndpointRecord.newBuilder()
                          .setRegion(ENDPOINT_REGION)
                          .setId("i" + i)
                          .setService("s")
                          .setFailureDomain("fd" + i % DOMAINS)
                          .setSlots(16)
                          .build())
              .toList();
      chooser.onEndpoints(endpoints);
      reach.onEndpoints(endpoints);
    }

    void setCut(Cut next) {
      cut = next;
      if (next != Cut.RESET && next != Cut.DEAF) {
        return;
      }
      if (next == Cut.RESET) {
        breakOpenCalls();
      }
      openCalls.forEach(call -> call.lost = true);
    }

    /** Breaks the calls that endpoints run for this node. */
    void breakOpenCalls() {
      List<OpenCall> broken = List.copyOf(openCalls);
      openCalls.clear();
      broken.forEach(call -> call.lost = true);
      broken.forEach(call -> call.listener.onFailure(CallFailure.BROKEN, "reset"));
    }

    private List<NodeRecord> reachingPeers() {
      return nodes.stream()
          .filter(n -> n != this && !unreachable.contains(n.name))
          .map(n -> n.self)
          .toList();
    }

    private CompletableFuture<PeerFrame> onFrame(String from, PeerFrame frame) {
      CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
      switch (frame.getBodyCase()) {
        case RELAY_REQUEST -> server.onRequest(from, frame.getRelayRequest(), reply::complete);
        case RELAY_CREDIT -> server.onCredit(from, frame.getRelayCredit());
        case RELAY_CANCEL -> server.onCancel(from, frame.getRelayCancel());
        default -> client.onFrame(from, frame);
      }
      return reply;
    }

    private void tick() {
      reach.tick();
      client.tick();
      server.tick();
      queue.tick();
      engine.tick();
    }

    Sent send(String path) {
      Sent request = new Sent(clock.nowMs());
      sent.add(request);
      String id = "q" + ++lastId;
      request.handle =
          engine.start(
              new RouterRequest(
                  id,
                  "",
                  "",
                  "",
                  "",
                  "POST",
                  path + "x",
                  "text/plain",
                  ByteString.copyFromUtf8("body"),
                  false,
                  null,
                  true,
                  "",
                  "",
                  clock.nowMs() + deadlineMs(path),
                  0,
                  0,
                  0,
                  0,
                  new ForwardedRequest("host", "key", List.of(), List.of(), "", clock.nowMs())),
              request);
      return request;
    }
  }
}
