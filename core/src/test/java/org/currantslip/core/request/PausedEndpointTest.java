package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.CallerLimits;
import org.currantslip.core.route.PromptPart;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteHolder;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.route.WeightedService;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an answer is not let go before another endpoint is certain to take it over. */
final class PausedEndpointTest {
  private static final long TIMEOUT_MS = 6_000;
  private static final long OBJECTIVE_MS = 400;
  private static final long TICK_MS = 5;
  private static final int SLOTS = 32;
  private static final int EVENTS = 6;
  private static final int STREAMS = 12;
  private static final RetryBudget.Bound NO_RETRIES = new RetryBudget.Bound(0, 0, 10_000);
  private static final RetryBudget.Bound FEW_RETRIES = new RetryBudget.Bound(0.5, 50, 10_000);
  private static final RetryBudget.Bound MANY_RETRIES = new RetryBudget.Bound(0.5, 5_000, 10_000);
  private static final int FLEET_NODES = 23;

  /** Bound on the retries of a node, of which the budget spends seven tenths. */
  private static final int NODE_RETRIES = 100;

  private static final RetryBudget.Bound NODE_BOUND =
      new RetryBudget.Bound(0, NODE_RETRIES * FLEET_NODES, 10_000);

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final RouteHolder routes = RouteHolder.create();
  private final FakeEndpointClient calls = new FakeEndpointClient();
  private final ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "fd", 1);
  private final Set<FakeEndpointClient.Call> answered = new HashSet<>();
  private RequestEngine engine = engine(FEW_RETRIES);

  private RequestEngine engine(RetryBudget.Bound bound) {
    routes.replaceIfNewer(
        RouteTable.of(
            5,
            List.of(
                route("safe", RouteKind.SAFE, List.of()),
                route("stream", RouteKind.STREAMING, List.of()),
                route("sized", RouteKind.STREAMING, List.of("small", "large"))),
            Map.of("key", new Account("account", OptionalInt.empty())),
            CallerLimits.defaults()));
    return RequestEngine.forwarding(
        new ForwardPorts(
            clock,
            routes,
            SlotQueue.create(clock, chooser::freeSlots, 1),
            chooser,
            RetryBudget.create(clock, bound, () -> FLEET_NODES),
            ServiceRollouts.create(NodeId.getDefaultInstance(), h -> {}),
            SizeCascade.create(),
            PromptQuarantine.create(clock, QuarantinePeers.none("n")),
            calls,
            outcome -> {},
            (event, id, fields) -> assertThat(fields.get()).isNotEmpty()));
  }

  private static Route route(String name, RouteKind kind, List<String> sizes) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        kind,
        List.of(new WeightedService("s", 1)),
        3,
        TIMEOUT_MS,
        OBJECTIVE_MS,
        400,
        1,
        false,
        true,
        sizes);
  }

  private void setEndpoints(int count, boolean leaving) {
    chooser.onEndpoints(
        IntStream.range(0, count)
            .mapToObj(
                i ->
                    EndpointRecord.newBuilder()
                        .setId("i" + i)
                        .setService("s")
                        .setVersion("v1")
                        .setSlots(SLOTS)
                        .setLeaving(leaving)
                        .build())
            .toList());
  }

  private ForwardedResponseSink send(String routeName) {
    final ForwardedResponseSink sink = new ForwardedResponseSink();
    engine.start(
        new RouterRequest(
            "id",
            "",
            "",
            "",
            "",
            "POST",
            "/" + routeName + "/x",
            "text/plain",
            ByteString.copyFromUtf8("body"),
            false,
            null,
            true,
            "",
            "",
            clock.nowMs() + TIMEOUT_MS,
            0,
            100,
            50,
            0,
            new ForwardedRequest(
                "host", "key", List.of(), List.of(new PromptPart("p", 100)), "", clock.nowMs())),
        sink);
    return sink;
  }

  private ForwardedResponseSink openStream() {
    final ForwardedResponseSink sink = send("stream");
    calls.last().head(200);
    events(calls.last(), 1, 2);
    return sink;
  }

  private static void events(FakeEndpointClient.Call call, int first, int last) {
    IntStream.rangeClosed(first, last).forEach(id -> call.data(event(id)));
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: x\n\n";
  }

  private static String wholeStream() {
    return IntStream.rangeClosed(1, EVENTS)
        .mapToObj(PausedEndpointTest::event)
        .collect(Collectors.joining());
  }

  private static void assertWhole(ForwardedResponseSink sink) {
    assertThat(sink.text()).isEqualTo(wholeStream());
    assertThat(sink.end().code()).isEqualTo(ResultCode.OK);
  }

  private void advance(long ms) {
    for (long t = 0; t < ms; t += TICK_MS) {
      clock.advance(TICK_MS);
      engine.tick();
    }
  }

  /** Ends the call as its endpoint would, from the event after the last one that the caller has. */
  private void finishStream(FakeEndpointClient.Call call) {
    if (!answered.add(call) || calls.cancelled.contains(call)) {
      return;
    }
    ForwardedCall forwarded = call.request().forwarded();
    String lastId = forwarded == null ? "" : forwarded.lastEventId();
    call.head(200);
    events(call, lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1, EVENTS);
    call.listener().onEnd(EndpointUsage.none());
  }

  private void decline(FakeEndpointClient.Call call) {
    if (answered.add(call)) {
      call.listener().onHead(head(503, true, OptionalDouble.empty()));
    }
  }

  private static EndpointResponseHead head(int status, boolean notRun, OptionalDouble confidence) {
    return new EndpointResponseHead(
        status,
        "text/plain",
        "id",
        notRun,
        true,
        confidence,
        BodyFraming.LENGTH,
        EndpointNotice.none(),
        null,
        List.of());
  }

  @Test
  void streamAtTheOnlyEndpointGoesOnAfterPause() {
    setEndpoints(1, false);
    final ForwardedResponseSink sink = openStream();
    advance(1_500);
    events(calls.last(), 3, EVENTS);
    calls.last().listener().onEnd(EndpointUsage.none());
    assertWhole(sink);
    assertThat(calls.calls).hasSize(1);
  }

  @Test
  void pausedStreamGoesOnWhenTheRetryBudgetIsSpent() {
    engine = engine(NO_RETRIES);
    setEndpoints(4, false);
    final ForwardedResponseSink sink = openStream();
    advance(1_500);
    events(calls.last(), 3, EVENTS);
    calls.last().listener().onEnd(EndpointUsage.none());
    assertWhole(sink);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void streamsOfPausedEndpointsEndWhole(int pausedEndpoints) {
    setEndpoints(pausedEndpoints, false);
    List<ForwardedResponseSink> sinks = new ArrayList<>();
    IntStream.range(0, STREAMS).forEach(i -> sinks.add(openStream()));
    List<FakeEndpointClient.Call> paused = List.copyOf(calls.calls);
    setEndpoints(4, false);
    for (int t = 0; t < 1_500; t += TICK_MS) {
      advance(TICK_MS);
      if (pausedEndpoints == 1) {
        calls.calls.stream().skip(STREAMS).toList().forEach(this::finishStream);
      }
    }
    paused.stream()
        .filter(call -> !calls.cancelled.contains(call))
        .forEach(
            call -> {
              events(call, 3, EVENTS);
              call.listener().onEnd(EndpointUsage.none());
            });
    calls.calls.stream().skip(STREAMS).toList().forEach(this::finishStream);
    sinks.forEach(PausedEndpointTest::assertWhole);
  }

  @Test
  void pauseLeavesRetriesForBrokenStreams() {
    setEndpoints(1, false);
    IntStream.range(0, 2 * STREAMS).forEach(i -> openStream());
    setEndpoints(4, false);
    advance(1_500);
    for (int i = 0; i < 4; i++) {
      int sends = calls.calls.size();
      openStream();
      calls.last().listener().onFailure(CallFailure.TRUNCATED, "");
      assertThat(calls.calls.size() - sends).isEqualTo(2);
    }
  }

  @Test
  void safeRequestWaitsForTheOnlyEndpoint() {
    setEndpoints(1, false);
    final ForwardedResponseSink sink = send("safe");
    advance(3 * OBJECTIVE_MS);
    calls.last().respond("whole");
    assertThat(sink.status()).isEqualTo(200);
    assertThat(sink.text()).isEqualTo("whole");
  }

  @Test
  void brokenStreamOutlastsEndpointsThatDecline() {
    engine = engine(MANY_RETRIES);
    setEndpoints(4, false);
    final ForwardedResponseSink sink = openStream();
    calls.last().listener().onFailure(CallFailure.TRUNCATED, "");
    for (int t = 0; t < 1_000; t += TICK_MS) {
      calls.calls.stream().skip(1).toList().forEach(this::decline);
      advance(TICK_MS);
    }
    advance(1_000);
    finishStream(calls.last());
    assertWhole(sink);
  }

  @Test
  void errorOfTheOnlyEndpointIsPassedOn() {
    setEndpoints(1, false);
    final ForwardedResponseSink sink = send("safe");
    calls.last().head(500);
    calls.last().data("error");
    calls.last().listener().onEnd(EndpointUsage.none());
    assertThat(sink.status()).isEqualTo(500);
    assertThat(sink.text()).isEqualTo("error");
  }

  @Test
  void answerOfSmallModelIsKeptIfNoEndpointTakesTheLargerOne() {
    setEndpoints(1, false);
    final ForwardedResponseSink sink = send("sized");
    setEndpoints(1, true);
    calls.last().listener().onHead(head(200, false, OptionalDouble.of(0.1)));
    events(calls.last(), 1, EVENTS);
    calls.last().listener().onEnd(EndpointUsage.none());
    assertWhole(sink);
  }

  @Test
  void pauseOfThisNodeDoesNotCountAsSilenceOfAnEndpoint() {
    setEndpoints(4, false);
    final ForwardedResponseSink sink = openStream();
    advance(TICK_MS);
    clock.advance(3_000);
    engine.tick();
    assertThat(calls.cancelled).isEmpty();
    events(calls.last(), 3, EVENTS);
    calls.last().listener().onEnd(EndpointUsage.none());
    assertWhole(sink);
  }

  private boolean isEndpointUsable() {
    return chooser.choose(EndpointQuery.ofService("s", "v1", "", List.of(), Set.of())).isPresent();
  }

  @Test
  void endpointOfStreamThatReachesItsTimeoutStaysUsable() {
    setEndpoints(1, false);
    openStream();
    for (int id = 3; clock.nowMs() < 1_000_000 + TIMEOUT_MS; id++) {
      events(calls.last(), id, id);
      advance(100);
    }
    assertThat(calls.cancelled).contains(calls.last());
    assertThat(isEndpointUsable()).isTrue();
  }

  @Test
  void withdrawnRequestsLeaveTheirEndpointUsable() {
    setEndpoints(1, false);
    for (int i = 0; i < 3; i++) {
      send("safe");
      calls.last().listener().onFailure(CallFailure.WITHDRAWN, "");
    }
    assertThat(isEndpointUsable()).isTrue();
  }

  @ParameterizedTest
  @ValueSource(strings = {"stream", "safe"})
  void pausedRequestOutlastsSuccessorThatDeclines(String routeName) {
    engine = engine(NODE_BOUND);
    setEndpoints(2, false);
    final ForwardedResponseSink sink = send(routeName);
    FakeEndpointClient.Call paused = calls.last();
    for (int t = 0; t < 3_000; t += TICK_MS) {
      advance(TICK_MS);
      calls.calls.stream()
          .filter(call -> !call.endpoint().getId().equals(paused.endpoint().getId()))
          .toList()
          .forEach(this::decline);
    }
    assertThat(calls.last().endpoint().getId()).isEqualTo(paused.endpoint().getId());
    finishStream(calls.last());
    assertWhole(sink);
  }

  @Test
  void hungEndpointIsNoticedDespiteLongTicks() {
    engine = engine(NODE_BOUND);
    setEndpoints(4, false);
    openStream();
    final FakeEndpointClient.Call hung = calls.last();
    for (int i = 0; i < 10; i++) {
      clock.advance(250);
      engine.tick();
    }
    assertThat(calls.cancelled).contains(hung);
  }

  @Test
  void endpointIsEjectedOnceForOnePause() {
    engine = engine(NODE_BOUND);
    setEndpoints(1, false);
    IntStream.range(0, STREAMS).forEach(i -> openStream());
    setEndpoints(4, false);
    advance(1_200);
    assertThat(calls.cancelled).hasSize(STREAMS);
    setEndpoints(1, false);
    advance(1_500);
    assertThat(isEndpointUsable()).isTrue();
  }

  @Test
  void endpointThatSentSomethingSinceItsLastConnectFailureIsReachable() {
    engine = engine(NODE_BOUND);
    setEndpoints(1, false);
    openStream();
    final FakeEndpointClient.Call open = calls.last();
    send("safe");
    calls.last().listener().onFailure(CallFailure.NOT_SENT, "");
    advance(100);
    events(open, 3, 3);
    setEndpoints(4, false);
    advance(500);
    assertThat(calls.cancelled).doesNotContain(open);
  }

  @Test
  void waitingStreamsLeaveRetriesToBrokenRequests() {
    engine = engine(NODE_BOUND);
    setEndpoints(4, false);
    IntStream.range(0, STREAMS).forEach(i -> openStream());
    List.copyOf(calls.calls).forEach(call -> call.listener().onFailure(CallFailure.TRUNCATED, ""));
    for (int t = 0; t < 3_000; t += TICK_MS) {
      calls.calls.stream().skip(STREAMS).toList().forEach(this::decline);
      advance(TICK_MS);
    }
    final int sends = calls.calls.size();
    send("safe");
    calls.last().listener().onFailure(CallFailure.BROKEN, "");
    assertThat(calls.calls).hasSize(sends + 2);
  }
}
