package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.limits.Permit;
import org.currantslip.core.limits.PlaceQuery;
import org.currantslip.core.rollout.OutcomeSample;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.core.routing.RouteQuery;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * A request that passes unchanged to an endpoint of its route, and whose answer passes unchanged.
 *
 * <p>A request goes to a second endpoint if the first one did not run it, or if its route lets it
 * run again. A resumable stream goes on there after the last event that the caller has.
 */
final class ForwardedFlow extends RequestFlow {
  /** Endpoints that may decline a request before its caller is told to come back. */
  private static final int MAX_DECLINES = 3;

  /** Less time than this is not worth another send. */
  private static final long MIN_TIME_LEFT_MS = 20;

  private static final long STARTING_RETRY_MS = 300;
  private static final long NO_ENDPOINT_RETRY_MS = 500;
  private static final long NEVER_MS = Long.MAX_VALUE / 4;

  /** Late by this factor of the objective, an idempotent request is better sent elsewhere. */
  private static final long SILENT_OBJECTIVES = 2;

  private static final long MIN_FIRST_BYTE_MS = 500;

  /** A full batch or a preempted request pauses a stream for about a second. */
  private static final long MIN_BETWEEN_EVENTS_MS = 1_000;

  /** A little more than a step of a full batch takes. */
  private static final long QUIET_WHILE_UNREACHABLE_MS = 400;

  private static final long MAX_HELD_BYTES = 16L << 20;

  private final ForwardPorts ports;
  private final RouterRequest request;
  private final ForwardedRequest forwarded;
  private final CallerAnswer answer;
  private final long startedMs;
  private final Set<String> tried = new HashSet<>();

  private RouteTable table = RouteTable.none();
  private @Nullable Route route;
  private Account account = Account.anonymous();
  private String service = "";
  private long deadlineMs;
  private long admittedMs = -1;
  private long firstByteMs = -1;
  private @Nullable Attempt attempt;
  private String model = "";
  private int size;
  private boolean larger;
  private boolean paid;
  private int nextSize;
  private SizeCascade.@Nullable Answer previous;
  private boolean expired;
  private boolean gone;
  private int sends;
  private int runs;
  private int declines;
  private int events;
  private Ran ran = Ran.NO;
  private @Nullable ByteString lastEvent;

  private ForwardedFlow(
      ForwardPorts ports, RouterRequest request, ForwardedRequest forwarded, CallerSink sink) {
    this.ports = ports;
    this.request = request;
    this.forwarded = forwarded;
    answer = CallerAnswer.create(request, sink);
    startedMs = ports.clock().nowMs();
    deadlineMs = request.deadlineMs();
  }

  static ForwardedFlow create(ForwardPorts ports, RouterRequest request, CallerSink sink) {
    ForwardedRequest forwarded = request.forwarded();
    if (forwarded == null) {
      throw new IllegalArgumentException("a request of this product's own interface");
    }
    return new ForwardedFlow(ports, request, forwarded, sink);
  }

  private Route route() {
    if (route == null) {
      throw new IllegalStateException("the route is not known yet");
    }
    return route;
  }

  @Override
  void check() {
    table = ports.routes().current();
    answer.useConfig(table.version());
    if (table.version() == 0) {
      throw RefusalException.notRunRetry(
          ResultCode.NODE_STARTING, STARTING_RETRY_MS, "no configuration is known yet");
    }
    Route r =
        table
            .route(forwarded.host(), request.path())
            .orElseThrow(
                () -> RefusalException.notRun(ResultCode.PATH_UNKNOWN, "no route for this path"));
    route = r;
    account = r.anonymous() ? Account.anonymous() : holder();
    service = r.serviceFor(request.requestId());
    deadlineMs = Math.min(request.deadlineMs(), startedMs + r.timeoutMs());
    size = ports.sizes().first(r);
    ports.retries().request(service);
    if (request.body().size() > table.limits().bodyBytes()) {
      throw RefusalException.notRun(ResultCode.BODY_TOO_LARGE, "the body is too large");
    }
    if (timeLeftMs() <= 0) {
      throw RefusalException.notRun(ResultCode.DEADLINE_PASSED, "the deadline has passed");
    }
  }

  private Account holder() {
    return table
        .account(forwarded.key())
        .orElseThrow(
            () -> RefusalException.notRun(ResultCode.TOKEN_WRONG, "no account holds this key"));
  }

  private int priority() {
    OptionalInt own = account.priority();
    return own.isPresent() ? own.getAsInt() : route().priority();
  }

  private long timeLeftMs() {
    return deadlineMs - ports.clock().nowMs();
  }

  @Override
  CompletableFuture<Permit> admit() {
    return ports
        .queue()
        .admit(
            new PlaceQuery(
                service,
                account.name(),
                priority(),
                startedMs,
                startedMs + route().objectiveMs(),
                deadlineMs,
                forwarded.prompt()));
  }

  @Override
  void proceed() {
    admittedMs = ports.clock().nowMs();
    choose();
  }

  private void choose() {
    enter(Stage.CHOOSING);
    String key = request.session().isEmpty() ? request.requestId() : request.session();
    for (String version : ports.rollouts().versions(service, key)) {
      RouteQuery query = query(version);
      Optional<EndpointRecord> endpoint = ports.chooser().choose(query);
      if (endpoint.isPresent()) {
        dispatch(endpoint.get(), query);
        return;
      }
    }
    refuse(notServed(ResultCode.NO_ENDPOINT, "no endpoint of " + service + " is usable"));
  }

  private RouteQuery query(String version) {
    return RouteQuery.ofService(service, version, modelOf(size), forwarded.prompt(), tried);
  }

  /** Returns the model of a size, or an empty name where the caller names the model. */
  private String modelOf(int wanted) {
    return route().modelSizes().isEmpty() ? "" : route().modelSizes().get(wanted);
  }

  private void dispatch(EndpointRecord endpoint, RouteQuery query) {
    enter(Stage.CALLING);
    tried.add(endpoint.getId());
    sends++;
    model = modelOf(size);
    answer.useVersion(model, endpoint.getVersion(), false, "");
    Attempt a =
        Attempt.create(
            endpoint,
            outgoing(endpoint),
            silenceBounds(),
            ports.clock(),
            ports.chooser().use(endpoint.getId(), query),
            this);
    attempt = a;
    ports
        .trace()
        .note(
            LogEvent.REQUEST_DISPATCHED,
            request.requestId(),
            () ->
                "route=%s endpoint=%s version=%s model=%s send=%d config_version=%d left_ms=%d"
                    .formatted(
                        route().name(),
                        endpoint.getId(),
                        endpoint.getVersion(),
                        model,
                        sends,
                        table.version(),
                        timeLeftMs()));
    a.start(ports.calls(), request.promptTokens() + request.maxTokens());
  }

  private EndpointRequest outgoing(EndpointRecord endpoint) {
    return new EndpointRequest(
        request.requestId(),
        request.method(),
        request.path(),
        request.contentType(),
        request.body(),
        model,
        endpoint.getVersion(),
        route().kind() == RouteKind.STREAMING,
        priority(),
        "",
        true,
        new ForwardedCall(
            forwarded.fields(),
            endpoint.getId(),
            account.name(),
            Math.max(1, timeLeftMs()),
            priority(),
            resumeAfter()));
  }

  private String resumeAfter() {
    return lastEvent == null ? forwarded.lastEventId() : EventIds.of(lastEvent);
  }

  /** An answer that cannot be had elsewhere is waited for until the deadline. */
  private EngineOptions silenceBounds() {
    Route r = route();
    boolean elsewhere = r.isRepeatable() && runs + 1 < r.attempts();
    long firstByte =
        elsewhere ? Math.max(MIN_FIRST_BYTE_MS, SILENT_OBJECTIVES * r.objectiveMs()) : NEVER_MS;
    long between = elsewhere ? Math.max(MIN_BETWEEN_EVENTS_MS, 2 * r.eventGapMs()) : NEVER_MS;
    return EngineOptions.holding(firstByte, between, MAX_HELD_BYTES);
  }

  @Override
  public boolean isFault(Attempt a, EndpointHead head) {
    noteLoad(a, head);
    if (!head.isSuccess()) {
      return HttpStatus.isEndpointFault(head.status()) && payForAnotherRun();
    }
    if (!head.authentic()) {
      return true;
    }
    larger = !answer.isOpened() && wantsLarger(a, head) && payForAnotherRun();
    return larger;
  }

  /** Returns whether the request may run once more after this run; takes it off the budget. */
  private boolean payForAnotherRun() {
    paid =
        !gone
            && !expired
            && timeLeftMs() >= MIN_TIME_LEFT_MS
            && route().isRepeatable()
            && runs + 1 < route().attempts()
            && ports.retries().trySpend(service);
    return paid;
  }

  private boolean wantsLarger(Attempt a, EndpointHead head) {
    Route r = route();
    if (previous != null) {
      ports.sizes().observe(r, previous, size, head.confidence());
    }
    SizeCascade.Answer seen = new SizeCascade.Answer(size, head.confidence());
    OptionalInt next = ports.sizes().next(r, seen);
    if (next.isEmpty()) {
      return false;
    }
    RouteQuery query =
        RouteQuery.ofService(
            service,
            a.endpoint().getVersion(),
            modelOf(next.getAsInt()),
            forwarded.prompt(),
            tried);
    double expectedMs = ports.chooser().expectedMs(query).orElse(0);
    long leftMs = startedMs + r.objectiveMs() - ports.clock().nowMs();
    if (!ports.sizes().isWorthIt(seen, expectedMs, leftMs, r.objectiveMs())) {
      return false;
    }
    previous = seen;
    nextSize = next.getAsInt();
    return true;
  }

  private void noteLoad(Attempt a, EndpointHead head) {
    EndpointHead.LoadNow load = head.load();
    if (load != null) {
      ports
          .chooser()
          .onLoad(
              new EndpointLoad(
                  a.endpoint().getId(), load.running(), load.waiting(), 0, ports.clock().nowMs()));
    }
  }

  @Override
  public boolean onData(Attempt a, ByteString data) {
    ran = Ran.YES;
    if (route().kind() != RouteKind.STREAMING || !a.head().isSuccess()) {
      return false;
    }
    if (lastEvent != null && !EventIds.isAfter(data, lastEvent)) {
      return true;
    }
    if (!answer.isOpened()) {
      answer.passOn(a.head());
      noteFirstByte();
    }
    lastEvent = data;
    events++;
    answer.stream(data);
    return true;
  }

  private void noteFirstByte() {
    if (firstByteMs < 0) {
      firstByteMs = ports.clock().nowMs() - startedMs;
    }
  }

  @Override
  public void onAnswer(Attempt a, EndpointUsage usage) {
    ran = Ran.YES;
    boolean success = a.head().isSuccess();
    judge(a, HttpStatus.isEndpointFault(a.status()));
    if (!answer.isOpened()) {
      noteFirstByte();
      answer.passOn(a.head());
      answer.whole(a.status(), a.contentType(), ByteString.copyFrom(a.held()), Ran.YES, false);
    } else if (success) {
      answer.endStream();
    } else {
      refuse(RefusalException.of(ResultCode.ENDPOINT_FAILED, Ran.YES, 0, "status " + a.status()));
      return;
    }
    end(success ? ResultCode.OK : ResultCode.ENDPOINT_FAILED);
  }

  /** Adds to the evidence on the endpoint's version. */
  private void judge(Attempt a, boolean failed) {
    OutcomeSample sample =
        failed
            ? OutcomeSample.failed()
            : OutcomeSample.answered(
                route().kind() == RouteKind.STREAMING ? a.eventPaceMs(events) : a.ageMs());
    ports.rollouts().onOutcome(service, a.endpoint().getVersion(), route().name(), sample);
  }

  @Override
  public void onFault(Attempt a, Attempt.Fault fault) {
    if (larger) {
      larger = false;
      runs++;
      ran = Ran.UNKNOWN;
      size = nextSize;
      tried.clear();
      paid = false;
      choose();
      return;
    }
    trace(a, fault);
    boolean notRun = fault == Attempt.Fault.NOT_SENT || fault == Attempt.Fault.NOT_RUN;
    if (notRun) {
      declines++;
    } else {
      runs++;
      ran = ran == Ran.NO ? Ran.UNKNOWN : ran;
      judge(a, fault == Attempt.Fault.ERROR_STATUS);
    }
    boolean again =
        paid
            || (maySendAgain(!notRun)
                && (fault == Attempt.Fault.NOT_SENT || ports.retries().trySpend(service)));
    paid = false;
    if (again) {
      choose();
    } else {
      refuse(notServed(Refusals.codeOf(fault), "endpoint fault: " + fault));
    }
  }

  private void trace(Attempt a, Attempt.Fault fault) {
    ports
        .trace()
        .note(
            LogEvent.ATTEMPT_FAILED,
            request.requestId(),
            () ->
                "route=%s endpoint=%s fault=%s status=%d events=%d age_ms=%d"
                    .formatted(
                        route().name(),
                        a.endpoint().getId(),
                        fault,
                        a.status(),
                        events,
                        a.ageMs()));
  }

  /** Returns whether another endpoint may get the request, its budget aside. */
  private boolean maySendAgain(boolean mayHaveRun) {
    if (gone || expired || timeLeftMs() < MIN_TIME_LEFT_MS) {
      return false;
    }
    Route r = route();
    return mayHaveRun ? r.isRepeatable() && runs < r.attempts() : declines <= MAX_DECLINES;
  }

  /** Returns a refusal whose status says what is known: only a request that never ran is 503. */
  private RefusalException notServed(ResultCode code, String detail) {
    if (ran == Ran.NO) {
      long spread = Math.floorMod(request.requestId().hashCode(), NO_ENDPOINT_RETRY_MS);
      ResultCode notRun = expired ? ResultCode.DEADLINE_UNREACHABLE : ResultCode.NO_ENDPOINT;
      return RefusalException.notRunRetry(notRun, NO_ENDPOINT_RETRY_MS + spread, detail);
    }
    ResultCode known = code == ResultCode.NO_ENDPOINT ? ResultCode.ENDPOINT_FAILED : code;
    return RefusalException.of(known, ran, 0, detail);
  }

  @Override
  void onTick(long nowMs) {
    if (nowMs >= deadlineMs) {
      onDeadline();
    } else if (isIn(Stage.CALLING) && attempt != null && isLost(attempt, nowMs)) {
      attempt.failSilent();
    }
  }

  /** An endpoint that others cannot connect to is left sooner than one that is only slow. */
  private boolean isLost(Attempt a, long nowMs) {
    boolean elsewhere = route().isRepeatable() && runs + 1 < route().attempts();
    return a.isSilent(nowMs)
        || (elsewhere
            && a.isQuietFor(QUIET_WHILE_UNREACHABLE_MS, nowMs)
            && ports.chooser().isUnreachable(a.endpoint().getId()));
  }

  private void onDeadline() {
    expired = true;
    if (isIn(Stage.CALLING) && attempt != null && !attempt.isEnded()) {
      attempt.failSilent();
    } else {
      refuse(notServed(ResultCode.DEADLINE_EXCEEDED, "the deadline passed"));
    }
  }

  /** Stops work that nobody waits for; what may run only once is let end. */
  @Override
  void callerGone() {
    answer.abandon();
    if (isDone()) {
      return;
    }
    gone = true;
    if (isIn(Stage.CALLING) && route().kind() == RouteKind.UNSAFE) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    end(ResultCode.CALLER_GONE);
  }

  @Override
  void refuse(RefusalException e) {
    if (attempt != null) {
      attempt.cancel();
    }
    answer.refuse(e);
    end(e.code());
  }

  private void end(ResultCode code) {
    close(0);
    long totalMs = ports.clock().nowMs() - startedMs;
    String name = route == null ? "" : route.name();
    ports
        .outcomes()
        .accept(
            new RequestOutcome(
                account.name(),
                name,
                answer.model(),
                answer.version(),
                service,
                code,
                ran,
                answer.sentStatus(),
                firstByteMs < 0 ? totalMs : firstByteMs,
                totalMs,
                0,
                sends));
    ports
        .trace()
        .note(
            code == ResultCode.OK ? LogEvent.REQUEST_ENDED : LogEvent.REQUEST_FAILED,
            request.requestId(),
            () ->
                ("route=%s account=%s service=%s config_version=%d code=%d result=%s ran=%s"
                        + " status=%d sends=%d events=%d queue_ms=%d first_byte_ms=%d total_ms=%d"
                        + " endpoint=%s")
                    .formatted(
                        name,
                        account.name(),
                        service,
                        table.version(),
                        code.number(),
                        code,
                        ran.text(),
                        answer.sentStatus(),
                        sends,
                        events,
                        admittedMs < 0 ? totalMs : admittedMs - startedMs,
                        firstByteMs,
                        totalMs,
                        attempt == null ? "" : attempt.endpoint().getId()));
  }
}
