package org.currantslip.core.request;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.limits.Permit;
import org.currantslip.core.limits.SlotRequest;
import org.currantslip.core.quarantine.RequestFingerprints;
import org.currantslip.core.rollout.OutcomeSample;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.core.routing.EndpointNotice;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * Forwards a request unchanged to an endpoint of its route and relays the response unchanged.
 *
 * <p>A request is retried on another endpoint if the first one did not run it, or if its route
 * allows repeated execution. A resumable stream continues there after the last event sent to the
 * caller.
 */
final class ForwardedFlow extends RequestFlow {
  /** Number of endpoints that may decline a request before it is refused with a retry delay. */
  private static final int MAX_DECLINES = 3;

  /** Interval at which a call that is silent asks for another endpoint. */
  private static final long SUCCESSOR_INTERVAL_MS = 250;

  /** Minimum time before the deadline at which a retry is still worthwhile. */
  private static final long MIN_RETRY_TIME_LEFT_MS = 20;

  private static final long NODE_STARTING_RETRY_AFTER_MS = 300;
  private static final long NO_ENDPOINT_RETRY_AFTER_MS = 500;
  private static final long NO_TIMEOUT_MS = Long.MAX_VALUE / 4;

  /**
   * First-byte timeout of an idempotent request, as a multiple of its latency objective. A request
   * this late is better retried on another endpoint.
   */
  private static final long FIRST_BYTE_TIMEOUT_OBJECTIVES = 2;

  private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 500;

  /** A full batch or a preempted request pauses a stream for about one second. */
  private static final long MIN_IDLE_TIMEOUT_MS = 1_000;

  /** Slightly longer than one step of a full batch. */
  private static final long UNREACHABLE_IDLE_TIMEOUT_MS = 400;

  /** What may pass while an open stream waits. */
  private static final ImmutableSet<RetryObstacle> PASSING_OBSTACLES =
      ImmutableSet.of(RetryObstacle.DECLINES, RetryObstacle.BUDGET, RetryObstacle.NO_ENDPOINT);

  private static final long MAX_BUFFERED_BYTES = 16L << 20;

  private final ForwardPorts ports;
  private final RouterRequest request;
  private final ForwardedRequest forwarded;
  private final CallerResponse response;
  private final long arrivedMs;
  private final long beganMs;
  private final Set<String> triedEndpoints = new HashSet<>();

  private RouteTable table = RouteTable.none();
  private @Nullable Route route;
  private Account account = Account.anonymous();
  private String service = "";
  private PromptGuard promptGuard;
  private long deadlineMs;
  private long admittedMs = -1;
  private long firstByteMs = -1;
  private @Nullable Attempt attempt;
  private String model = "";
  private int sizeIndex;
  private boolean escalating;
  private @Nullable Successor successor;
  private long nextSuccessorMs;
  private boolean retryOwed;
  private boolean letGo;
  private boolean waited;
  private ResultCode failureCode = ResultCode.NO_ENDPOINT;
  private int nextSizeIndex;
  private SizeCascade.@Nullable Answer previousAnswer;
  private boolean deadlineExpired;
  private boolean callerDisconnected;
  private int sendCount;
  private int runCount;
  private int declineCount;
  private int eventCount;
  private boolean firstEventRecorded;
  private boolean paceRecorded;
  private Ran ran = Ran.NO;
  private @Nullable ByteString lastEvent;
  private SilenceRule silenceRule = SilenceRule.DEADLINE;
  private String endRule = "";
  private RetryObstacle obstacle = RetryObstacle.NONE;

  /** An endpoint that may take a request over. */
  private record Successor(EndpointRecord endpoint, EndpointQuery query) {}

  private ForwardedFlow(
      ForwardPorts ports, RouterRequest request, ForwardedRequest forwarded, CallerSink sink) {
    this.ports = ports;
    this.request = request;
    this.forwarded = forwarded;
    response = CallerResponse.create(request, sink);
    arrivedMs = forwarded.arrivedMs();
    beganMs = ports.clock().nowMs();
    deadlineMs = request.deadlineMs();
    promptGuard = PromptGuard.withoutPrompt(ports, request.requestId());
  }

  static ForwardedFlow create(ForwardPorts ports, RouterRequest request, CallerSink sink) {
    ForwardedRequest forwarded = request.forwarded();
    if (forwarded == null) {
      throw new IllegalArgumentException("not a forwarded request");
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
    response.setConfigVersion(table.version());
    if (table.version() == 0) {
      throw RefusalException.notRunRetryable(
          ResultCode.NODE_STARTING, NODE_STARTING_RETRY_AFTER_MS, "no configuration is known yet");
    }
    Route matchedRoute =
        table
            .route(forwarded.host(), request.path())
            .orElseThrow(
                () -> RefusalException.notRun(ResultCode.PATH_UNKNOWN, "no route for this path"));
    route = matchedRoute;
    account = matchedRoute.anonymous() ? Account.anonymous() : authenticate();
    service = matchedRoute.serviceFor(request.requestId());
    deadlineMs = Math.min(request.deadlineMs(), arrivedMs + matchedRoute.timeoutMs());
    sizeIndex = ports.sizeCascade().firstSize(matchedRoute);
    ports.retryBudget().recordRequest(service);
    if (request.body().size() > table.limits().bodyBytes()) {
      throw RefusalException.notRun(ResultCode.BODY_TOO_LARGE, "the body is too large");
    }
    if (timeLeftMs() <= 0) {
      throw RefusalException.notRun(ResultCode.DEADLINE_PASSED, "the deadline has passed");
    }
    promptGuard =
        PromptGuard.create(
            ports.quarantine(),
            ports.trace(),
            request.requestId(),
            RequestFingerprints.of(
                service,
                forwarded.prompt(),
                request.method(),
                request.path(),
                account.name(),
                request.body()));
    Optional<RefusalException> quarantined = promptGuard.refusal(ran);
    if (quarantined.isPresent()) {
      throw quarantined.get();
    }
  }

  private Account authenticate() {
    return table
        .account(forwarded.apiKey())
        .orElseThrow(
            () -> RefusalException.notRun(ResultCode.TOKEN_WRONG, "no account holds this key"));
  }

  private int priority() {
    OptionalInt accountPriority = account.priority();
    return accountPriority.isPresent() ? accountPriority.getAsInt() : route().priority();
  }

  private long timeLeftMs() {
    return deadlineMs - ports.clock().nowMs();
  }

  @Override
  CompletableFuture<Permit> admit() {
    return ports
        .queue()
        .admit(
            new SlotRequest(
                service,
                account.name(),
                priority(),
                arrivedMs,
                arrivedMs + route().objectiveMs(),
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
    Optional<RefusalException> quarantined = promptGuard.refusal(ran);
    if (quarantined.isPresent()) {
      obstacle = RetryObstacle.QUARANTINE;
      refuse(quarantined.get());
      return;
    }
    Optional<Successor> found = findSuccessor(sizeIndex, triedEndpoints);
    if (found.isEmpty()) {
      obstacle = RetryObstacle.NO_ENDPOINT;
      awaitEndpointOrRefuse(ResultCode.NO_ENDPOINT, "no endpoint of " + service + " is usable");
    } else if (retryOwed && !isPaid(waited)) {
      obstacle = RetryObstacle.BUDGET;
      awaitEndpointOrRefuse(failureCode, "the retry budget is spent");
    } else {
      dispatch(found.get());
    }
  }

  /**
   * Waits until the deadline if an answer that has begun, or that was let go while it was still to
   * come, may be had from another endpoint.
   */
  private void awaitEndpointOrRefuse(ResultCode code, String detail) {
    boolean begun = response.isStarted() || letGo;
    if (begun && route().isRepeatable() && PASSING_OBSTACLES.contains(obstacle)) {
      enter(Stage.CHOOSING);
      nextSuccessorMs = ports.clock().nowMs() + SUCCESSOR_INTERVAL_MS;
    } else {
      refuse(notServedRefusal(code, detail));
    }
  }

  /** Chooses again after a wait, for one attempt; the endpoint that declined last comes last. */
  private void chooseAgain() {
    triedEndpoints.clear();
    if (attempt != null) {
      triedEndpoints.add(attempt.endpoint().getId());
      if (findSuccessor(sizeIndex, triedEndpoints).isEmpty()) {
        triedEndpoints.clear();
      }
    }
    declineCount = MAX_DECLINES;
    waited = true;
    choose();
  }

  private Optional<Successor> findSuccessor(int size, Set<String> excluded) {
    for (String version :
        ports.rollouts().versionsFor(service, request.session(), request.requestId())) {
      EndpointQuery query = query(version, size, excluded);
      Optional<EndpointRecord> endpoint = ports.chooser().choose(query);
      if (endpoint.isPresent()) {
        return Optional.of(new Successor(endpoint.get(), query));
      }
    }
    return Optional.empty();
  }

  private EndpointQuery query(String version, int size, Set<String> excluded) {
    return EndpointQuery.ofService(service, version, modelOf(size), forwarded.prompt(), excluded);
  }

  /** Returns the model with this index, or an empty name if the caller names the model. */
  private String modelOf(int index) {
    return route().modelSizes().isEmpty() ? "" : route().modelSizes().get(index);
  }

  private void dispatch(Successor next) {
    EndpointRecord endpoint = next.endpoint();
    enter(Stage.CALLING);
    triedEndpoints.add(endpoint.getId());
    sendCount++;
    firstEventRecorded = false;
    paceRecorded = false;
    model = modelOf(sizeIndex);
    response.setModelVersion(model, endpoint.getVersion(), false, "");
    Attempt a =
        Attempt.create(
            endpoint,
            endpointRequest(endpoint),
            timeouts(),
            ports.clock(),
            ports.chooser().track(endpoint.getId(), next.query()),
            this);
    attempt = a;
    ports
        .trace()
        .record(
            LogEvent.REQUEST_DISPATCHED,
            request.requestId(),
            () ->
                "route=%s endpoint=%s version=%s model=%s send=%d config_version=%d left_ms=%d"
                    .formatted(
                        route().name(),
                        endpoint.getId(),
                        endpoint.getVersion(),
                        model,
                        sendCount,
                        table.version(),
                        timeLeftMs()));
    promptGuard.onSent(endpoint);
    a.start(ports.endpointClient(), request.promptTokens() + request.maxTokens());
  }

  private EndpointRequest endpointRequest(EndpointRecord endpoint) {
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
            lastEventId(),
            response::isAbandoned));
  }

  private String lastEventId() {
    return lastEvent == null ? forwarded.lastEventId() : EventIds.of(lastEvent);
  }

  /**
   * Returns the timeouts of an attempt. If the request cannot be retried, only its deadline
   * applies.
   */
  private EngineOptions timeouts() {
    Route matchedRoute = route();
    boolean retryable = matchedRoute.isRepeatable() && runCount + 1 < matchedRoute.attempts();
    long firstByteTimeoutMs =
        retryable
            ? Math.max(
                MIN_FIRST_BYTE_TIMEOUT_MS,
                FIRST_BYTE_TIMEOUT_OBJECTIVES * matchedRoute.objectiveMs())
            : NO_TIMEOUT_MS;
    long idleTimeoutMs =
        retryable ? Math.max(MIN_IDLE_TIMEOUT_MS, 2 * matchedRoute.eventGapMs()) : NO_TIMEOUT_MS;
    return EngineOptions.withBufferLimit(firstByteTimeoutMs, idleTimeoutMs, MAX_BUFFERED_BYTES);
  }

  @Override
  public void onNotice(Attempt a, EndpointNotice notice) {
    EndpointNotice.Effect effect = ports.chooser().onNotice(a.endpoint(), notice, a.sentMs());
    if (effect != EndpointNotice.Effect.NONE) {
      ports
          .trace()
          .record(
              LogEvent.ENDPOINT_NOTICE,
              request.requestId(),
              () ->
                  "endpoint=%s leaving=%s retry_after_s=%s limit=%s limit_per_s=%s effect=%s"
                      .formatted(
                          a.endpoint().getId(),
                          notice.leaving(),
                          notice.retryAfterS(),
                          notice.limit().kind(),
                          notice.limit().perS(),
                          effect));
    }
  }

  @Override
  public boolean isFault(Attempt a, EndpointResponseHead head) {
    reportLoad(a, head);
    if (!head.isSuccess()) {
      return response.isStarted()
          || (HttpStatus.isEndpointFault(head.status())
              && isSuccessorPaid(sizeIndex, triedEndpoints, false));
    }
    if (!head.authentic()) {
      return true;
    }
    escalating =
        !response.isStarted()
            && shouldEscalate(a, head)
            && isSuccessorPaid(nextSizeIndex, Set.of(), false);
    return escalating;
  }

  /**
   * Finds and pays for an endpoint that takes over from the current attempt. Returns whether it
   * did; otherwise the attempt is the best that the request has.
   *
   * @param forSilence whether the current attempt is merely silent
   */
  private boolean isSuccessorPaid(int size, Set<String> excluded, boolean forSilence) {
    obstacle = retryObstacle(true, runCount + 1);
    if (obstacle == RetryObstacle.NONE && !promptGuard.mayRepeat()) {
      obstacle = RetryObstacle.QUARANTINE;
    }
    if (obstacle != RetryObstacle.NONE) {
      return false;
    }
    Optional<Successor> found = findSuccessor(size, excluded);
    if (found.isEmpty()) {
      obstacle = RetryObstacle.NO_ENDPOINT;
    } else if (promptGuard.refusal(ran).isPresent()) {
      obstacle = RetryObstacle.QUARANTINE;
    } else if (!isPaid(forSilence)) {
      obstacle = RetryObstacle.BUDGET;
    } else {
      successor = found.get();
    }
    return successor != null;
  }

  private boolean isPaid(boolean forSilence) {
    return forSilence
        ? ports.retryBudget().trySpendOnSilence(service)
        : ports.retryBudget().trySpend(service);
  }

  private boolean shouldEscalate(Attempt a, EndpointResponseHead head) {
    Route matchedRoute = route();
    if (previousAnswer != null) {
      ports.sizeCascade().observe(matchedRoute, previousAnswer, sizeIndex, head.confidence());
    }
    SizeCascade.Answer currentAnswer = new SizeCascade.Answer(sizeIndex, head.confidence());
    OptionalInt next = ports.sizeCascade().nextSize(matchedRoute, currentAnswer);
    if (next.isEmpty() || !promptGuard.mayRepeat()) {
      return false;
    }
    EndpointQuery query = query(a.endpoint().getVersion(), next.getAsInt(), Set.of());
    OptionalDouble expectedMs = ports.chooser().expectedFirstTokenMs(query);
    long leftMs = arrivedMs + matchedRoute.objectiveMs() - ports.clock().nowMs();
    if (expectedMs.isEmpty()
        || !ports
            .sizeCascade()
            .isEscalationWorthwhile(
                currentAnswer, expectedMs.getAsDouble(), leftMs, matchedRoute.objectiveMs())) {
      return false;
    }
    previousAnswer = currentAnswer;
    nextSizeIndex = next.getAsInt();
    return true;
  }

  private void reportLoad(Attempt a, EndpointResponseHead head) {
    EndpointResponseHead.CurrentLoad load = head.load();
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
    recordFirstEvent(a);
    promptGuard.onEvent();
    if (lastEvent != null && !EventIds.isAfter(data, lastEvent)) {
      return true;
    }
    if (!response.isStarted()) {
      response.relayHead(a.head());
      recordFirstByte();
    }
    lastEvent = data;
    eventCount++;
    response.sendEvent(data);
    return true;
  }

  /** Adds the time to the first event of an attempt to the statistics of the version. */
  private void recordFirstEvent(Attempt a) {
    if (!firstEventRecorded) {
      firstEventRecorded = true;
      OutcomeSample sample = OutcomeSample.firstEvent(model, a.relativeTime());
      ports.rollouts().onOutcome(service, a.endpoint().getVersion(), route().name(), sample);
    }
  }

  /**
   * Records an open stream as slow once its events come too slowly, since a slow stream ends late
   * and would be missing among the samples of a rollout.
   */
  private void recordPaceIfSlow(Attempt a) {
    double intervalMs = a.openEventIntervalMs();
    if (!paceRecorded && ports.rollouts().isPaceSlow(route().name(), model, intervalMs)) {
      paceRecorded = true;
      OutcomeSample sample = OutcomeSample.pace(model, intervalMs);
      ports.rollouts().onOutcome(service, a.endpoint().getVersion(), route().name(), sample);
    }
  }

  private void recordFirstByte() {
    if (firstByteMs < 0) {
      firstByteMs = ports.clock().nowMs() - arrivedMs;
    }
  }

  @Override
  public void onResponse(Attempt a, EndpointUsage usage) {
    ran = Ran.YES;
    boolean success = a.head().isSuccess();
    promptGuard.onResponse(success);
    recordOutcome(a, HttpStatus.isEndpointFault(a.status()));
    if (!response.isStarted()) {
      recordFirstByte();
      response.relayHead(a.head());
      response.sendComplete(
          a.status(), a.contentType(), ByteString.copyFrom(a.bufferedData()), Ran.YES, false);
    } else if (success) {
      response.endStream();
    } else {
      refuse(RefusalException.of(ResultCode.ENDPOINT_FAILED, Ran.YES, 0, "status " + a.status()));
      return;
    }
    end(success ? ResultCode.OK : ResultCode.ENDPOINT_FAILED);
  }

  /** Adds a sample to the outcome statistics of the endpoint's version. */
  private void recordOutcome(Attempt a, boolean failed) {
    OutcomeSample sample =
        failed ? OutcomeSample.failed() : OutcomeSample.answered(model, responseTimeMs(a));
    ports.rollouts().onOutcome(service, a.endpoint().getVersion(), route().name(), sample);
  }

  /** Returns the response time to record, or -1 if there is none or it was recorded before. */
  private double responseTimeMs(Attempt a) {
    if (route().kind() != RouteKind.STREAMING) {
      return a.elapsedMs();
    }
    return paceRecorded ? -1 : a.meanEventIntervalMs(eventCount);
  }

  @Override
  public void onFault(Attempt a, Attempt.Fault fault) {
    Successor next = successor;
    successor = null;
    if (escalating && next != null) {
      escalating = false;
      promptGuard.onAbandoned();
      runCount++;
      ran = Ran.UNKNOWN;
      sizeIndex = nextSizeIndex;
      triedEndpoints.clear();
      dispatch(next);
      return;
    }
    endRule = fault == Attempt.Fault.SILENT ? silenceRule.name() : fault.name();
    traceFault(a, fault);
    final boolean promptAllows = promptGuard.onFault(fault, hasLeft(a));
    boolean notRun = fault == Attempt.Fault.NOT_SENT || fault == Attempt.Fault.NOT_RUN;
    if (notRun) {
      declineCount++;
    } else {
      runCount++;
      ran = ran == Ran.NO ? Ran.UNKNOWN : ran;
      if (fault == Attempt.Fault.SILENT && route().kind() == RouteKind.STREAMING) {
        recordFirstEvent(a);
      } else {
        recordOutcome(a, fault == Attempt.Fault.ERROR_STATUS);
      }
    }
    if (next != null) {
      letGo = true;
      dispatch(next);
      return;
    }
    retryOwed = fault != Attempt.Fault.NOT_SENT;
    failureCode = Refusals.codeOf(fault);
    obstacle = promptAllows ? retryObstacle(!notRun, runCount) : RetryObstacle.QUARANTINE;
    if (obstacle == RetryObstacle.NONE) {
      choose();
    } else {
      awaitEndpointOrRefuse(failureCode, "endpoint fault: " + fault);
    }
  }

  /** Returns whether the endpoint of an attempt has announced its stop or was removed. */
  private boolean hasLeft(Attempt a) {
    return a.head().notice().leaving()
        || ports
            .chooser()
            .endpoint(a.endpoint().getId())
            .map(EndpointRecord::getLeaving)
            .orElse(true);
  }

  private void traceFault(Attempt a, Attempt.Fault fault) {
    ports
        .trace()
        .record(
            LogEvent.ATTEMPT_FAILED,
            request.requestId(),
            () ->
                ("route=%s endpoint=%s fault=%s rule=%s status=%d framing=%s events=%d age_ms=%d"
                        + " silent_ms=%d endpoint_silent_ms=%d reason=%s")
                    .formatted(
                        route().name(),
                        a.endpoint().getId(),
                        fault,
                        endRule,
                        a.status(),
                        a.head().framing(),
                        eventCount,
                        a.elapsedMs(),
                        a.silentMs(),
                        a.endpointSilentMs(),
                        a.failureDetail()));
  }

  /**
   * Returns what keeps the request from another endpoint, regardless of the retry budget, the
   * quarantine and the endpoints.
   *
   * @param mayHaveRun whether the last attempt may have run
   * @param runs number of attempts that may have run
   */
  private RetryObstacle retryObstacle(boolean mayHaveRun, int runs) {
    if (callerDisconnected || response.isAbandoned()) {
      return RetryObstacle.CALLER_GONE;
    }
    if (deadlineExpired || timeLeftMs() < MIN_RETRY_TIME_LEFT_MS) {
      return RetryObstacle.TIME;
    }
    Route matchedRoute = route();
    if (!mayHaveRun) {
      return declineCount <= MAX_DECLINES ? RetryObstacle.NONE : RetryObstacle.DECLINES;
    }
    if (!matchedRoute.isRepeatable()) {
      return RetryObstacle.NOT_REPEATABLE;
    }
    return runs < matchedRoute.attempts() ? RetryObstacle.NONE : RetryObstacle.ATTEMPTS;
  }

  /**
   * Returns a refusal that reflects whether the request ran. Only one that never ran gets a 503.
   */
  private RefusalException notServedRefusal(ResultCode code, String detail) {
    if (ran == Ran.NO) {
      long jitterMs = Math.floorMod(request.requestId().hashCode(), NO_ENDPOINT_RETRY_AFTER_MS);
      ResultCode notRun =
          deadlineExpired ? ResultCode.DEADLINE_UNREACHABLE : ResultCode.NO_ENDPOINT;
      return RefusalException.notRunRetryable(
          notRun, NO_ENDPOINT_RETRY_AFTER_MS + jitterMs, detail);
    }
    ResultCode reportedCode = code == ResultCode.NO_ENDPOINT ? ResultCode.ENDPOINT_FAILED : code;
    return RefusalException.of(reportedCode, ran, 0, detail);
  }

  @Override
  void onNodeResumed(long pauseMs) {
    if (isIn(Stage.CALLING) && attempt != null) {
      attempt.leaveOutPause(pauseMs);
      // The times of this call say nothing of its version any more.
      firstEventRecorded = true;
      paceRecorded = true;
    }
  }

  @Override
  void onTick(long nowMs) {
    if (nowMs >= deadlineMs) {
      onDeadline();
    } else if (isIn(Stage.ADMITTING)) {
      promptGuard.refusal(ran).ifPresent(this::refuse);
    } else if (isIn(Stage.CHOOSING) && nowMs >= nextSuccessorMs) {
      chooseAgain();
    } else if (isIn(Stage.CALLING) && attempt != null) {
      Attempt current = attempt;
      if (isFirstEventOverdue(current)) {
        recordFirstEvent(current);
      }
      if (route().kind() == RouteKind.STREAMING) {
        recordPaceIfSlow(current);
      }
      if (nowMs >= nextSuccessorMs && hasTimedOut(current, nowMs)) {
        nextSuccessorMs = nowMs + SUCCESSOR_INTERVAL_MS;
        if (isSuccessorPaid(sizeIndex, triedEndpoints, true)) {
          current.failOnTimeout();
        }
      }
    }
  }

  /** Returns whether an awaited first event already counts as slow for the version. */
  private boolean isFirstEventOverdue(Attempt a) {
    return !firstEventRecorded
        && route().kind() == RouteKind.STREAMING
        && ports.rollouts().isFirstEventSlow(route().name(), model, a.relativeTime());
  }

  /**
   * Returns whether the attempt has timed out. The timeout is shorter if other requests fail to
   * connect to the endpoint than if the endpoint is merely slow.
   */
  private boolean hasTimedOut(Attempt a, long nowMs) {
    if (a.hasTimedOut(nowMs)) {
      silenceRule = a.hasResponseHead() ? SilenceRule.IDLE : SilenceRule.FIRST_BYTE;
      return true;
    }
    silenceRule = SilenceRule.UNREACHABLE;
    boolean retryable = route().isRepeatable() && runCount + 1 < route().attempts();
    return retryable
        && a.isIdleFor(UNREACHABLE_IDLE_TIMEOUT_MS, nowMs)
        && ports.chooser().isUnreachable(a.endpoint().getId());
  }

  private void onDeadline() {
    deadlineExpired = true;
    silenceRule = SilenceRule.DEADLINE;
    endRule = SilenceRule.DEADLINE.name();
    if (isIn(Stage.CALLING) && attempt != null && !attempt.isEnded()) {
      attempt.failOnTimeout();
    } else {
      refuse(notServedRefusal(ResultCode.DEADLINE_EXCEEDED, "the deadline passed"));
    }
  }

  @Override
  void onNodeStop() {
    endRule = "STOP";
    if (isIn(Stage.CALLING) && ran == Ran.NO) {
      ran = Ran.UNKNOWN;
    }
    refuse(
        ran == Ran.NO
            ? Refusals.nodeLeaving()
            : RefusalException.of(
                ResultCode.OUTCOME_UNKNOWN, ran, 0, "the node stopped before the response"));
  }

  /** Cancels the request, except for an unsafe call in progress, which runs to completion. */
  @Override
  void onCallerDisconnected() {
    response.discard();
    if (isDone()) {
      return;
    }
    callerDisconnected = true;
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
    response.refuse(e);
    end(e.code());
  }

  private void end(ResultCode code) {
    promptGuard.onAbandoned();
    close(0);
    long totalMs = ports.clock().nowMs() - arrivedMs;
    String routeName = route == null ? "" : route.name();
    ports
        .outcomes()
        .accept(
            new RequestOutcome(
                account.name(),
                routeName,
                response.model(),
                response.version(),
                service,
                code,
                ran,
                response.sentStatus(),
                firstByteMs < 0 ? totalMs : firstByteMs,
                totalMs,
                0,
                sendCount));
    ports
        .trace()
        .record(
            code == ResultCode.OK ? LogEvent.REQUEST_ENDED : LogEvent.REQUEST_FAILED,
            request.requestId(),
            () ->
                ("route=%s account=%s service=%s config_version=%d code=%d result=%s ran=%s"
                        + " status=%d sends=%d events=%d wait_ms=%d queue_ms=%d first_byte_ms=%d"
                        + " total_ms=%d endpoint=%s framing=%s rule=%s lacked=%s silent_ms=%d"
                        + " end_config_version=%d")
                    .formatted(
                        routeName,
                        account.name(),
                        service,
                        table.version(),
                        code.number(),
                        code,
                        ran.text(),
                        response.sentStatus(),
                        sendCount,
                        eventCount,
                        beganMs - arrivedMs,
                        (admittedMs < 0 ? arrivedMs + totalMs : admittedMs) - beganMs,
                        firstByteMs,
                        totalMs,
                        attempt == null ? "" : attempt.endpoint().getId(),
                        attempt == null ? "" : attempt.head().framing(),
                        endRule,
                        obstacle,
                        attempt == null ? -1 : attempt.silentMs(),
                        ports.routes().current().version()));
  }
}
