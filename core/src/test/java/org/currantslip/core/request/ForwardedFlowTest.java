package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.quarantine.QuarantineListener;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.core.rollout.RolloutOrder;
import org.currantslip.core.rollout.RolloutOrder.Progress;
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
import org.currantslip.schema.EndpointCrash;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.PartVerdict;
import org.currantslip.schema.QuarantineUpdate;
import org.currantslip.schema.VersionHalt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the forwarding of requests, with endpoints simulated by the test. */
final class ForwardedFlowTest {
  private static final long TIMEOUT_MS = 4_000;
  private static final long OBJECTIVE_MS = 400;
  private static final int MAX_BODY_BYTES = 4;
  private static final int SLOTS = 4;
  private static final long TICK_MS = 5;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final RouteHolder routes = RouteHolder.create();
  private final FakeEndpointClient calls = new FakeEndpointClient();
  private final ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "fd", 1);
  private final List<RequestOutcome> outcomes = new ArrayList<>();
  private final List<VersionHalt> halts = new ArrayList<>();
  private final ServiceRollouts rollouts =
      ServiceRollouts.create(NodeId.getDefaultInstance(), halts::add);
  private final PromptQuarantine quarantine =
      PromptQuarantine.create(clock, QuarantinePeers.none("n"));
  private final SlotQueue queue = SlotQueue.create(clock, chooser::freeSlots, 1);
  private final ForwardedResponseSink sink = new ForwardedResponseSink();
  private final RequestEngine engine =
      RequestEngine.forwarding(
          new ForwardPorts(
              clock,
              routes,
              queue,
              chooser,
              RetryBudget.create(clock, new RetryBudget.Bound(0.5, 50, 10_000), () -> 1),
              rollouts,
              SizeCascade.create(),
              quarantine,
              calls,
              outcomes::add,
              (event, id, fields) -> assertThat(fields.get()).isNotEmpty()));

  private static Route route(
      String routeName, RouteKind kind, boolean resumable, List<String> sizes) {
    return new Route(
        routeName,
        "host",
        "/" + routeName + "/",
        kind,
        List.of(new WeightedService("s", 1)),
        kind == RouteKind.UNSAFE ? 1 : 3,
        TIMEOUT_MS,
        OBJECTIVE_MS,
        600,
        1,
        false,
        resumable,
        sizes);
  }

  @BeforeEach
  void start() {
    routes.replaceIfNewer(
        RouteTable.of(
            5,
            List.of(
                route("safe", RouteKind.SAFE, false, List.of()),
                route("unsafe", RouteKind.UNSAFE, false, List.of()),
                route("stream", RouteKind.STREAMING, true, List.of()),
                route("once", RouteKind.STREAMING, false, List.of()),
                route("sized", RouteKind.STREAMING, true, List.of("small", "large"))),
            Map.of("key", new Account("account", OptionalInt.empty())),
            new CallerLimits(16_384, MAX_BODY_BYTES, 3_000, 15_000)));
    setEndpoints("v1");
  }

  private void setEndpoints(String version) {
    chooser.onEndpoints(
        IntStream.range(0, 4)
            .mapToObj(
                i ->
                    EndpointRecord.newBuilder()
                        .setId("i" + i)
                        .setService("s")
                        .setVersion(version)
                        .setSlots(SLOTS)
                        .build())
            .toList());
  }

  private RequestHandle send(String routeName) {
    return send(routeName, "key", 60_000);
  }

  private RequestHandle send(String routeName, String key, long timeLeftMs) {
    return send(routeName, key, timeLeftMs, "body");
  }

  private RequestHandle send(String routeName, String key, long timeLeftMs, String body) {
    return send(routeName, key, timeLeftMs, body, List.of("p"));
  }

  private RequestHandle send(
      String routeName, String key, long timeLeftMs, String body, List<String> parts) {
    return engine.start(
        new RouterRequest(
            "id",
            "",
            "",
            "",
            "",
            "POST",
            "/" + routeName + "/x?y=z",
            "text/plain",
            ByteString.copyFromUtf8(body),
            false,
            null,
            true,
            "",
            "",
            clock.nowMs() + timeLeftMs,
            0,
            100,
            50,
            0,
            new ForwardedRequest(
                "host",
                key,
                List.of(),
                parts.stream().map(part -> new PromptPart(part, 100)).toList(),
                "",
                clock.nowMs() - waitedMs)),
        sink);
  }

  /** Time for which the next requests have waited before they are started. */
  private long waitedMs;

  private RequestHandle sendPrompt(String routeName, String... parts) {
    return send(routeName, "key", 60_000, "body", List.of(parts));
  }

  private FakeEndpointClient.Call call(int i) {
    return calls.calls.get(i);
  }

  private static void head(FakeEndpointClient.Call call, int status, boolean notRun) {
    call.listener().onHead(endpointHead(status, notRun, OptionalDouble.empty()));
  }

  private static EndpointResponseHead endpointHead(
      int status, boolean notRun, OptionalDouble confidence) {
    return endpointHead(status, notRun, confidence, EndpointNotice.none());
  }

  private static EndpointResponseHead endpointHead(
      int status, boolean notRun, OptionalDouble confidence, EndpointNotice notice) {
    return new EndpointResponseHead(
        status,
        "text/plain",
        "id",
        notRun,
        true,
        confidence,
        BodyFraming.LENGTH,
        notice,
        null,
        List.of(new HeaderField("Mac", "m")));
  }

  private static ForwardedCall forwarded(EndpointRequest request) {
    ForwardedCall forwarded = request.forwarded();
    if (forwarded == null) {
      throw new AssertionError("not a forwarded request");
    }
    return forwarded;
  }

  private List<HeaderField> endpointFields() {
    EndpointResponseHead head = sink.firstHead().endpointHead();
    return head == null ? List.of() : head.fields();
  }

  private static void event(FakeEndpointClient.Call call, int id) {
    call.data("id: " + id + "\ndata: x\n\n");
  }

  private void respond(FakeEndpointClient.Call call, int status) {
    head(call, status, false);
    call.data("whole");
    call.listener().onEnd(EndpointUsage.none());
  }

  private void advance(long ms) {
    for (long leftMs = ms; leftMs > 0; leftMs -= TICK_MS) {
      clock.advance(Math.min(TICK_MS, leftMs));
      engine.tick();
    }
  }

  @Test
  void requestAndResponseAreForwardedUnchanged() {
    send("safe");
    EndpointRequest request = call(0).request();
    assertThat(request.path()).isEqualTo("/safe/x?y=z");
    assertThat(request.body()).isEqualTo(ByteString.copyFromUtf8("body"));
    assertThat(forwarded(request).account()).isEqualTo("account");
    assertThat(forwarded(request).remainingMs()).isEqualTo(TIMEOUT_MS);
    assertThat(forwarded(request).instance()).isEqualTo(call(0).endpoint().getId());
    respond(call(0), 200);
    assertThat(sink.status()).isEqualTo(200);
    assertThat(sink.text()).isEqualTo("whole");
    assertThat(endpointFields()).containsExactly(new HeaderField("Mac", "m"));
    assertThat(outcomes.get(0).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void timeoutCountsFromArrivalOfRequest() {
    waitedMs = TIMEOUT_MS / 2;
    send("safe");
    assertThat(forwarded(call(0).request()).remainingMs()).isEqualTo(TIMEOUT_MS - waitedMs);
    advance(TIMEOUT_MS - waitedMs);
    assertThat(sink.status()).isEqualTo(504);
  }

  @Test
  void requestThatWaitedForItsWholeTimeoutIsNotSent() {
    waitedMs = TIMEOUT_MS;
    send("safe");
    assertThat(calls.calls).isEmpty();
    assertThat(sink.status()).isEqualTo(408);
  }

  @ParameterizedTest
  @CsvSource({"missing, key, 404", "safe, wrong, 401", "safe, '', 401"})
  void unknownPathOrKeyIsRefused(String routeName, String key, int status) {
    send(routeName, key, 1_000);
    assertThat(sink.status()).isEqualTo(status);
    assertThat(calls.calls).isEmpty();
  }

  @Test
  void nodeWithoutConfigurationRefusesWithRetryDelay() {
    RequestEngine unconfigured =
        RequestEngine.forwarding(
            new ForwardPorts(
                clock,
                RouteHolder.create(),
                SlotQueue.create(clock, s -> 1, 1),
                chooser,
                RetryBudget.create(clock, new RetryBudget.Bound(1, 1, 1_000), () -> 1),
                ServiceRollouts.create(NodeId.getDefaultInstance(), h -> {}),
                SizeCascade.create(),
                quarantine,
                calls,
                o -> {},
                (event, id, fields) -> {}));
    unconfigured.start(
        new RouterRequest(
            "id",
            "",
            "",
            "",
            "",
            "GET",
            "/safe/",
            "",
            ByteString.EMPTY,
            false,
            null,
            true,
            "",
            "",
            clock.nowMs() + 1_000,
            0,
            0,
            0,
            0,
            new ForwardedRequest("host", "key", List.of(), List.of(), "", clock.nowMs())),
        sink);
    assertThat(sink.status()).isEqualTo(503);
    assertThat(sink.firstHead().retryAfterMs()).isGreaterThan(0);
  }

  @Test
  void bodyLargerThanConfiguredLimitIsRefused() {
    send("safe", "key", 1_000, "bodyX");
    assertThat(sink.status()).isEqualTo(413);
    assertThat(calls.calls).isEmpty();
  }

  @Test
  void refusesRequestsThatAreNotBegunWhenNodeStops() {
    IntStream.range(0, 4 * SLOTS).forEach(i -> send("safe"));
    final int sent = calls.calls.size();
    send("safe");
    engine.stop();
    send("safe");

    assertThat(sent).isEqualTo(4 * SLOTS);
    assertThat(calls.calls).hasSize(sent);
    assertThat(sink.heads().stream().map(ResponseHead::httpStatus).filter(s -> s == 503).toList())
        .hasSize(2);
    assertThat(sink.heads().stream().filter(h -> h.httpStatus() == 503).map(ResponseHead::ran))
        .containsExactly(Ran.NO, Ran.NO);
    assertThat(engine.activeCount()).isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource({"safe", "unsafe", "stream", "once"})
  void failsRequestsInProgressWhenNodeStops(String routeName) {
    send(routeName);
    engine.stop();

    assertThat(sink.status()).isEqualTo(502);
    assertThat(calls.cancelled).containsExactly(call(0));
    assertThat(calls.calls).hasSize(1);
  }

  /** Guards against a request that is sent so late in a planned stop that its response is cut. */
  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "once"})
  void stoppingNodeSendsNoRequestThatOutlastsTheStop(String routeName) {
    for (int i = 0; i < 4 * SLOTS; i++) {
      send("safe", "key", 60_000, "b" + i);
    }
    send(routeName);
    engine.stopAt(clock.nowMs() + 2 * OBJECTIVE_MS);
    advance(OBJECTIVE_MS + 2 * TICK_MS);
    respond(call(0), 200);
    assertThat(calls.calls).hasSize(4 * SLOTS);
    ResponseHead refused = sink.heads().get(0);
    assertThat(refused.code()).isEqualTo(ResultCode.NODE_LEAVING);
    assertThat(refused.ran()).isEqualTo(Ran.NO);
    send(routeName);
    assertThat(calls.calls).hasSize(4 * SLOTS);
  }

  /** Guards against a stopping node that refuses what it can still serve. */
  @Test
  void stoppingNodeServesRequestsOfUsualLength() {
    send("safe");
    advance(100);
    respond(call(0), 200);
    engine.stopAt(clock.nowMs() + 150);
    send("safe");
    assertThat(calls.calls).hasSize(2);
    advance(60);
    send("safe");
    assertThat(calls.calls).hasSize(2);
  }

  @Test
  void breaksOffStreamInProgressWhenNodeStops() {
    send("stream");
    head(call(0), 200, false);
    event(call(0), 1);
    engine.stop();

    assertThat(sink.end().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(sink.headCount()).isEqualTo(1);
  }

  /** Checks for each endpoint fault whether the request is retried, and the final status. */
  @ParameterizedTest
  @CsvSource({
    // route, fault, retried, status if every endpoint fails this way
    "safe, NOT_SENT, true, 503",
    "safe, NOT_RUN, true, 503",
    "safe, BROKEN, true, 502",
    "safe, STATUS_500, true, 500",
    "unsafe, NOT_SENT, true, 503",
    "unsafe, NOT_RUN, true, 503",
    "unsafe, BROKEN, false, 502",
    "unsafe, STATUS_500, false, 500",
    "unsafe, CROSSED, false, 502",
    "unsafe, UNAUTHENTIC, false, 502",
    "once, NOT_SENT, true, 503",
    "once, NOT_RUN, true, 503",
    "once, BROKEN, false, 502",
    "once, STATUS_500, false, 500",
    "stream, NOT_RUN, true, 503",
    "stream, BROKEN, true, 502",
    "stream, STATUS_500, true, 500",
    "stream, CROSSED, true, 502"
  })
  void onlyRepeatableOrUnexecutedRequestsAreRetried(
      String routeName, String fault, boolean retried, int status) {
    send(routeName);
    for (int i = 0; i < calls.calls.size() && i < 10; i++) {
      fail(call(i), fault);
    }
    assertThat(calls.calls.size() > 1).isEqualTo(retried);
    assertThat(sink.status()).isEqualTo(status);
    boolean ran = !fault.startsWith("NOT_");
    assertThat(outcomes.get(0).ran() == Ran.NO).isEqualTo(!ran);
    assertThat(sink.status() == 503).isEqualTo(!ran);
  }

  /**
   * Guards against a request that ran and is answered with a status by which its caller may take it
   * for not run, and repeat it.
   */
  @ParameterizedTest
  @CsvSource({
    "unsafe, 408",
    "unsafe, 429",
    "unsafe, 503",
    "once, 408",
    "once, 429",
    "once, 503",
    "safe, 408",
    "safe, 429",
    "safe, 503",
    "stream, 503"
  })
  void endpointStatusThatImpliesNotRunIsReplacedIfTheRequestRan(String routeName, int status) {
    send(routeName);
    for (int i = 0; i < calls.calls.size(); i++) {
      respond(call(i), status);
    }
    assertThat(sink.status()).isEqualTo(502);
    assertThat(sink.firstHead().ran()).isEqualTo(Ran.YES);
    assertThat(sink.firstHead().endpointHead()).isNull();
    assertThat(sink.text()).isEmpty();
    assertThat(outcomes.get(0).code()).isEqualTo(ResultCode.ENDPOINT_FAILED);
    assertThat(outcomes.get(0).httpStatus()).isEqualTo(502);
  }

  private void fail(FakeEndpointClient.Call call, String fault) {
    switch (fault) {
      case "NOT_SENT" -> call.listener().onFailure(CallFailure.NOT_SENT, "");
      case "NOT_RUN" -> head(call, 503, true);
      case "BROKEN" -> call.listener().onFailure(CallFailure.BROKEN, "");
      case "STATUS_500" -> respond(call, 500);
      case "CROSSED" ->
          call.listener()
              .onHead(EndpointResponseHead.of(200, "text/plain", "another request's id"));
      case "UNAUTHENTIC" ->
          call.listener()
              .onHead(
                  new EndpointResponseHead(
                      200,
                      "",
                      "id",
                      false,
                      false,
                      OptionalDouble.empty(),
                      BodyFraming.LENGTH,
                      EndpointNotice.none(),
                      null,
                      List.of()));
      default -> throw new IllegalArgumentException(fault);
    }
  }

  /** Each path on which a request reaches an endpoint, after a response of the first endpoint. */
  @ParameterizedTest
  @CsvSource({
    "safe, 200, false, true, 0",
    "safe, 500, false, true, 0",
    "safe, 503, true, true, 0",
    "unsafe, 503, true, true, 0",
    "once, 200, false, true, 0",
    "stream, 200, false, true, 0",
    "sized, 200, false, true, 0",
    "safe, 503, true, false, 2",
    "unsafe, 503, true, false, 0.6",
    "stream, 503, true, false, 2",
    "sized, 503, true, false, 2"
  })
  void endpointThatLeavesOrWantsNoRequestsGetsNone(
      String routeName, int status, boolean notRun, boolean leaving, double retryAfterS) {
    send(routeName);
    EndpointNotice notice = new EndpointNotice(leaving, retryAfterS);
    call(0).listener().onHead(endpointHead(status, notRun, OptionalDouble.of(0.1), notice));
    call(0).listener().onFailure(CallFailure.TRUNCATED, "");
    for (int i = 0; i < 3 * SLOTS; i++) {
      send(routeName);
    }
    assertThat(calls.calls.size()).isEqualTo(1 + 3 * SLOTS);
    String told = call(0).endpoint().getId();
    assertThat(
            calls.calls.stream()
                .skip(1)
                .map(c -> c.endpoint().getId())
                .filter(told::equals)
                .count())
        .isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource({"true, 0", "false, 2"})
  void requestIsRefusedAsNotRunWhileNoEndpointWantsIt(boolean leaving, double retryAfterS) {
    EndpointNotice notice = new EndpointNotice(leaving, retryAfterS);
    chooser.endpoints().forEach(e -> chooser.onNotice(e, notice, clock.nowMs()));
    send("unsafe");
    clock.advance(OBJECTIVE_MS);
    queue.tick();
    assertThat(calls.calls).isEmpty();
    assertThat(sink.status()).isEqualTo(503);
    assertThat(sink.firstHead().ran()).isEqualTo(Ran.NO);
    assertThat(sink.firstHead().retryAfterMs()).isGreaterThan(0);
  }

  private void openStreamsOfNewVersion() {
    for (int i = 0; i < 10; i++) {
      send("stream");
      head(calls.last(), 200, false);
      for (int id = 1; id <= 5; id++) {
        event(calls.last(), id);
        advance(30);
      }
      calls.last().listener().onEnd(EndpointUsage.none());
    }
    setEndpoints("v2");
    rollouts.onOrders(
        List.of(
            new RolloutOrder(
                "s", "v2", 60_000, 1, new Progress(RolloutOrder.State.IN_PROGRESS, 1, 1))));
    for (int i = 0; i < 6; i++) {
      send("stream");
      head(calls.last(), 200, false);
      event(calls.last(), 1);
    }
  }

  @Test
  void versionWithSlowEventsIsHaltedBeforeItsStreamsEnd() {
    openStreamsOfNewVersion();
    IntStream.range(0, 9).forEach(i -> advance(100));
    assertThat(outcomes).hasSize(10);
    assertThat(halts).hasSize(1);
  }

  @Test
  void pauseOfThisNodeDoesNotHaltVersion() {
    openStreamsOfNewVersion();
    advance(TICK_MS);
    clock.advance(3_000);
    engine.tick();
    assertThat(halts).isEmpty();
  }

  @Test
  void attemptsAreLimitedByTheRoute() {
    send("safe");
    for (int i = 0; i < calls.calls.size(); i++) {
      call(i).listener().onFailure(CallFailure.BROKEN, "");
    }
    assertThat(calls.calls).hasSize(3);
    assertThat(calls.calls.stream().map(c -> c.endpoint().getId()).distinct().count()).isEqualTo(3);
  }

  @Test
  void brokenStreamResumesAfterItsLastEventInTheSameResponse() {
    send("stream");
    head(call(0), 200, false);
    event(call(0), 3);
    event(call(0), 6);
    call(0).listener().onFailure(CallFailure.TRUNCATED, "");
    assertThat(forwarded(call(1).request()).lastEventId()).isEqualTo("6");
    head(call(1), 200, false);
    event(call(1), 6);
    event(call(1), 9);
    call(1).listener().onEnd(EndpointUsage.none());
    assertThat(sink.headCount()).isEqualTo(1);
    assertThat(sink.text()).isEqualTo("id: 3\ndata: x\n\nid: 6\ndata: x\n\nid: 9\ndata: x\n\n");
    assertThat(sink.end().code()).isEqualTo(ResultCode.OK);
  }

  /** Guards against a stream whose events come twice, as its run broke behind a comment. */
  @Test
  void streamThatBreaksBehindCommentResumesAfterItsLastEvent() {
    send("stream");
    head(call(0), 200, false);
    event(call(0), 1);
    event(call(0), 2);
    call(0).data(": keep-alive\n\n");
    call(0).listener().onFailure(CallFailure.BROKEN, "");
    assertThat(forwarded(call(1).request()).lastEventId()).isEqualTo("2");
    head(call(1), 200, false);
    call(1).data("\ufeff: hello\n\n");
    event(call(1), 2);
    event(call(1), 3);
    call(1).listener().onEnd(EndpointUsage.none());
    assertThat(sink.text())
        .isEqualTo(
            "id: 1\ndata: x\n\nid: 2\ndata: x\n\n: keep-alive\n\n: hello\n\n"
                + "id: 3\ndata: x\n\n");
  }

  /**
   * Guards against a run that continues a stream of which it cannot be known what was passed on.
   */
  @Test
  void streamWithEventWithoutIdIsNotResumed() {
    send("stream");
    head(call(0), 200, false);
    event(call(0), 1);
    call(0).data("data: y\n\n");
    call(0).listener().onFailure(CallFailure.BROKEN, "");
    assertThat(calls.calls).hasSize(1);
    assertThat(sink.end().code()).isNotEqualTo(ResultCode.OK);
  }

  /** Guards against the text of an error, or the end of another body, in the middle of a stream. */
  @ParameterizedTest
  @CsvSource({
    "400, text/plain, 'error'",
    "404, text/plain, ''",
    "429, text/plain, 'error'",
    "500, text/plain, 'error\n\n'",
    "503, text/html, 'id: 4\ndata: error\n\n'",
    "200, text/html, '<html>\n\n'",
    "200, text/html, 'id: 4\ndata: x\n\n'",
    "200, text/html, ''",
    "200, '', ''",
    "204, text/plain, ''",
    "206, text/plain, 'id: 4\ndata: x\n\n'"
  })
  void brokenStreamIsNotContinuedByAnotherKindOfResponse(
      int status, String contentType, String body) {
    send("stream");
    head(call(0), 200, false);
    event(call(0), 3);
    call(0).listener().onFailure(CallFailure.TRUNCATED, "");
    for (int i = 1; i < calls.calls.size(); i++) {
      call(i).listener().onHead(headOfType(status, contentType));
      if (!body.isEmpty()) {
        call(i).data(body);
      }
      call(i).listener().onEnd(EndpointUsage.none());
    }
    assertThat(calls.calls.size()).isAtLeast(2);
    assertThat(sink.headCount()).isEqualTo(1);
    assertThat(sink.text()).isEqualTo("id: 3\ndata: x\n\n");
    assertThat(sink.end().code()).isNotEqualTo(ResultCode.OK);
  }

  private static EndpointResponseHead headOfType(int status, String contentType) {
    return new EndpointResponseHead(
        status,
        contentType,
        "id",
        false,
        true,
        OptionalDouble.empty(),
        BodyFraming.LENGTH,
        EndpointNotice.none(),
        null,
        List.of());
  }

  @Test
  void brokenNonResumableStreamEndsTheResponse() {
    send("once");
    head(call(0), 200, false);
    event(call(0), 3);
    call(0).listener().onFailure(CallFailure.TRUNCATED, "");
    assertThat(calls.calls).hasSize(1);
    assertThat(sink.end().code()).isEqualTo(ResultCode.ANSWER_TRUNCATED);
  }

  @Test
  void idempotentRequestIsRetriedAfterFirstByteTimeout() {
    send("safe");
    advance(2 * OBJECTIVE_MS - 1);
    assertThat(calls.calls).hasSize(1);
    advance(1);
    assertThat(calls.calls).hasSize(2);
    assertThat(calls.cancelled).containsExactly(call(0));
  }

  @Test
  void streamOfUnreachableEndpointTimesOutSooner() {
    List<EndpointRecord> all = chooser.endpoints();
    chooser.onEndpoints(List.of(all.get(0)));
    send("stream");
    head(call(0), 200, false);
    event(call(0), 3);
    advance(399);
    send("safe");
    chooser.onEndpoints(all);
    call(1).listener().onFailure(CallFailure.NOT_SENT, "");
    engine.tick();
    assertThat(calls.cancelled).doesNotContain(call(0));
    advance(1);
    assertThat(calls.cancelled).contains(call(0));
    assertThat(forwarded(calls.last().request()).lastEventId()).isEqualTo("3");
  }

  @Test
  void unsafeRequestWaitsForItsEndpointUntilTheRouteTimeout() {
    send("unsafe");
    advance(TIMEOUT_MS - 1);
    assertThat(sink.headCount()).isEqualTo(0);
    advance(1);
    assertThat(sink.status()).isEqualTo(504);
    assertThat(calls.calls).hasSize(1);
    assertThat(outcomes.get(0).ran()).isEqualTo(Ran.UNKNOWN);
  }

  @Test
  void retryCarriesTheRemainingTime() {
    send("safe", "key", 3_000);
    clock.advance(700);
    call(0).listener().onFailure(CallFailure.BROKEN, "");
    assertThat(forwarded(call(1).request()).remainingMs()).isEqualTo(2_300);
  }

  @Test
  void callerDisconnectCancelsTheRequestUnlessItIsUnsafe() {
    send("safe").onCallerDisconnected();
    assertThat(calls.cancelled).hasSize(1);
    calls.calls.clear();
    calls.cancelled.clear();
    send("unsafe").onCallerDisconnected();
    assertThat(calls.cancelled).isEmpty();
    respond(call(0), 200);
    assertThat(sink.headCount()).isEqualTo(0);
    assertThat(engine.activeCount()).isEqualTo(0);
  }

  @Test
  void lowConfidenceResponseIsReplacedByThatOfLargerModel() {
    send("sized");
    assertThat(call(0).request().model()).isEqualTo("small");
    call(0).listener().onHead(endpointHead(200, false, OptionalDouble.of(0.3)));
    assertThat(call(1).request().model()).isEqualTo("large");
    call(1).listener().onHead(endpointHead(200, false, OptionalDouble.of(0.3)));
    event(call(1), 1);
    call(1).listener().onEnd(EndpointUsage.none());
    assertThat(sink.text()).isEqualTo("id: 1\ndata: x\n\n");
    assertThat(calls.cancelled).containsExactly(call(0));
    assertThat(outcomes.get(0).model()).isEqualTo("large");
  }

  @Test
  void confidentResponseOfSmallModelIsRelayed() {
    send("sized");
    call(0).listener().onHead(endpointHead(200, false, OptionalDouble.of(0.8)));
    event(call(0), 1);
    assertThat(sink.text()).isEqualTo("id: 1\ndata: x\n\n");
    assertThat(calls.calls).hasSize(1);
  }

  private void quarantine(String part) {
    quarantine.onUpdate(
        "peer",
        QuarantineUpdate.newBuilder()
            .addVerdict(PartVerdict.newBuilder().setService("s").setPart(part).setQuarantined(true))
            .build());
  }

  private void assertRefusedAsNotRun() {
    assertThat(sink.status()).isEqualTo(503);
    assertThat(sink.end().code()).isEqualTo(ResultCode.PROMPT_QUARANTINED);
    assertThat(sink.end().ran()).isEqualTo(Ran.NO);
    assertThat(sink.end().retryAfterMs()).isGreaterThan(0);
  }

  @ParameterizedTest
  @CsvSource({"safe", "stream"})
  void promptUnderWhichTwoEndpointsBrokeIsNotCarriedToThird(String routeName) {
    sendPrompt(routeName, "system", "bad", "own");
    call(0).listener().onFailure(CallFailure.BROKEN, "");
    call(1).listener().onFailure(CallFailure.BROKEN, "");
    assertThat(calls.calls).hasSize(2);
    assertThat(sink.status()).isEqualTo(502);
    assertThat(outcomes.get(0).ran()).isEqualTo(Ran.UNKNOWN);
  }

  @Test
  void promptSuspectedInOtherRequestsIsNotRepeated() {
    for (int i = 0; i < 2; i++) {
      sendPrompt("unsafe", "system", "bad", "own" + i);
      calls.last().listener().onFailure(CallFailure.BROKEN, "");
      for (int ms = 0; ms < 600; ms += 20) {
        advance(20);
        quarantine.tick();
      }
    }
    sendPrompt("safe", "other", "bad", "own");
    calls.last().listener().onFailure(CallFailure.BROKEN, "");
    assertThat(calls.calls).hasSize(3);
  }

  @ParameterizedTest
  @CsvSource({"safe", "unsafe", "stream", "once", "sized"})
  void promptWithQuarantinedPartIsRefusedAtOnceAsNotRun(String routeName) {
    quarantine("bad");
    sendPrompt(routeName, "system", "bad", "own");
    assertThat(calls.calls).isEmpty();
    assertRefusedAsNotRun();
  }

  @Test
  void soundPromptWithTheSameFirstPartIsSent() {
    quarantine("bad");
    sendPrompt("stream", "system", "good", "own");
    assertThat(calls.calls).hasSize(1);
  }

  @Test
  void queuedPromptIsRefusedAtOnceWhenItsPartIsQuarantined() {
    IntStream.range(0, 4 * SLOTS).forEach(i -> send("unsafe"));
    sendPrompt("stream", "system", "bad", "own");
    quarantine("bad");
    engine.tick();
    assertThat(calls.calls).hasSize(4 * SLOTS);
    assertRefusedAsNotRun();
  }

  @Test
  void queuedPromptIsNotSentOnceItsPartIsQuarantined() {
    IntStream.range(0, 4 * SLOTS).forEach(i -> send("unsafe"));
    sendPrompt("stream", "system", "bad", "own");
    quarantine("bad");
    respond(call(0), 200);
    assertThat(queue.queuedCount()).isEqualTo(0);
    assertThat(calls.calls).hasSize(4 * SLOTS);
    assertThat(outcomes.get(outcomes.size() - 1).code()).isEqualTo(ResultCode.OK);
    assertThat(outcomes.get(0).code()).isEqualTo(ResultCode.PROMPT_QUARANTINED);
  }

  @ParameterizedTest
  @CsvSource({"NOT_SENT, 503", "NOT_RUN, 503", "BROKEN, 502", "STATUS_500, 500"})
  void promptIsNotSentAgainOnceItsPartIsQuarantined(String fault, int status) {
    sendPrompt("stream", "system", "bad", "own");
    quarantine("bad");
    fail(call(0), fault);
    assertThat(calls.calls).hasSize(1);
    assertThat(sink.status()).isEqualTo(status);
    assertThat(outcomes.get(0).ran() == Ran.NO).isEqualTo(status == 503);
  }

  @Test
  void brokenStreamIsNotResumedOnceItsPartIsQuarantined() {
    sendPrompt("stream", "system", "bad", "own");
    head(call(0), 200, false);
    event(call(0), 1);
    quarantine("bad");
    call(0).listener().onFailure(CallFailure.TRUNCATED, "");
    assertThat(calls.calls).hasSize(1);
    assertThat(sink.end().code()).isNotEqualTo(ResultCode.OK);
    assertThat(sink.end().ran()).isEqualTo(Ran.YES);
  }

  @Test
  void quarantinedPromptIsNotSentToLargerModel() {
    sendPrompt("sized", "system", "bad", "own");
    quarantine("bad");
    call(0).listener().onHead(endpointHead(200, false, OptionalDouble.of(0.3)));
    event(call(0), 1);
    assertThat(calls.calls).hasSize(1);
    assertThat(sink.text()).isEqualTo("id: 1\ndata: x\n\n");
  }

  private void waitForTrial() {
    quarantine("bad");
    clock.advance(60_000);
    quarantine.tick();
  }

  @Test
  void trialIsSentOnceAndNotRepeated() {
    waitForTrial();
    sendPrompt("stream", "system", "bad", "own");
    assertThat(calls.calls).hasSize(1);
    sendPrompt("stream", "system", "bad", "next");
    assertThat(calls.calls).hasSize(1);
    assertRefusedAsNotRun();
    call(0).listener().onFailure(CallFailure.BROKEN, "");
    assertThat(calls.calls).hasSize(1);
    assertThat(outcomes.get(1).code()).isEqualTo(ResultCode.ENDPOINT_FAILED);
  }

  @ParameterizedTest
  @CsvSource({"NOT_SENT, 2", "NOT_RUN, 1"})
  void onlyTrialThatReachedNoEndpointIsSentToAnother(String fault, int sends) {
    waitForTrial();
    sendPrompt("stream", "system", "bad", "own");
    fail(call(0), fault);
    assertThat(calls.calls).hasSize(sends);
  }

  @Test
  void answeredTrialEndsTheQuarantine() {
    waitForTrial();
    sendPrompt("stream", "system", "bad", "own");
    advance(100);
    head(call(0), 200, false);
    event(call(0), 1);
    event(call(0), 2);
    sendPrompt("stream", "system", "bad", "next");
    assertThat(calls.calls).hasSize(2);
  }

  /** Only a break that nothing else explains accuses the request, and the parts of its prompt. */
  @ParameterizedTest
  @CsvSource({"false, 1, true, true", "true, 1, false, false", "false, 2, true, false"})
  void brokenStreamIsReportedAsCrashUnlessItsEndpointLeftOrAnswered(
      boolean leaving, int events, boolean requestReported, boolean partsReported) {
    List<EndpointCrash> crashes = new ArrayList<>();
    quarantine.setListener(
        new QuarantineListener() {
          @Override
          public void onCrash(EndpointCrash crash) {
            crashes.add(crash);
          }

          @Override
          public void onVerdict(PartVerdict verdict, List<EndpointCrash> evidence) {}
        });
    sendPrompt("once", "system", "bad", "own");
    EndpointNotice notice = new EndpointNotice(leaving, 0);
    call(0).listener().onHead(endpointHead(200, false, OptionalDouble.empty(), notice));
    IntStream.rangeClosed(1, events).forEach(id -> event(call(0), id));
    call(0).listener().onFailure(CallFailure.TRUNCATED, "");
    clock.advance(1_000);
    quarantine.tick();
    assertThat(crashes.stream().filter(c -> c.getService().isEmpty()).count())
        .isEqualTo(requestReported ? 1 : 0);
    assertThat(crashes.stream().filter(c -> c.getService().equals("s")).count())
        .isEqualTo(partsReported ? 1 : 0);
  }
}
