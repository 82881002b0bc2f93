package org.currantslip.core.request;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.limits.Permit;
import org.currantslip.core.quarantine.RequestFingerprints;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * Forwards a request unchanged to an endpoint of its route and relays the response unchanged.
 *
 * <p>A request is retried on another endpoint if the first one did not run it, or if its route
 * allows repeated execution. A resumable stream continues there after the last event sent to the
 * caller.
 */
final class ForwardedFlow extends RequestFlow implements RelayStage.Owner {
  /** Interval at which a call that is silent asks for another endpoint. */
  private static final long SUCCESSOR_INTERVAL_MS = 250;

  /** Minimum time before the deadline at which a retry is still worthwhile. */
  private static final long MIN_RETRY_TIME_LEFT_MS = 20;

  private static final long NODE_STARTING_RETRY_AFTER_MS = 300;

  /** Slightly longer than one step of a full batch. */
  private static final long UNREACHABLE_IDLE_TIMEOUT_MS = 400;

  /** Multiple of the expected time to the first token that a call gets without a path. */
  private static final double MAX_RELATIVE_TIME_WITHOUT_PATH = 2;

  /** What may pass while an open stream waits. */
  private static final ImmutableSet<RetryObstacle> PASSING_OBSTACLES =
      ImmutableSet.of(RetryObstacle.DECLINES, RetryObstacle.BUDGET, RetryObstacle.NO_ENDPOINT);

  private final ForwardPorts ports;
  private final DrainLimit drainLimit;
  private final RouterRequest request;
  private final ForwardedRequest forwarded;
  private final CallerResponse response;
  private final long arrivedMs;
  private final long beganMs;
  private final AttemptHistory history;
  private final ForwardedTrace trace;
  private final RelayStage relay;

  private RouteTable table = RouteTable.none();
  private @Nullable Route route;
  private @Nullable Assignment assignment;
  private PromptGuard promptGuard;
  private long deadlineMs;
  private long admittedMs = -1;
  private long firstByteMs = -1;
  private @Nullable Attempt attempt;
  private String model = "";
  private boolean escalating;
  private EndpointSelection.@Nullable Candidate successor;
  private long nextSuccessorMs;
  private boolean retryOwed;
  private boolean retryPaid;
  private boolean letGo;
  private boolean waited;
  private ResultCode failureCode = ResultCode.NO_ENDPOINT;
  private boolean deadlineExpired;
  private boolean callerDisconnected;
  private int eventCount;
  private final StreamPosition position;
  private SilenceRule silenceRule = SilenceRule.DEADLINE;
  private String endRule = "";
  private RetryObstacle obstacle = RetryObstacle.NONE;

  /** What the configuration assigns to the request, and the steps that depend on it. */
  private record Assignment(
      ResolvedRequest request,
      EndpointSelection selection,
      OutcomeRecorder outcomes,
      SizeEscalation sizes) {}

  private ForwardedFlow(
      ForwardPorts ports,
      DrainLimit drainLimit,
      RouterRequest request,
      ForwardedRequest forwarded,
      CallerSink sink) {
    this.ports = ports;
    this.drainLimit = drainLimit;
    this.request = request;
    this.forwarded = forwarded;
    response = CallerResponse.create(request, sink);
    arrivedMs = forwarded.arrivedMs();
    beganMs = ports.clock().nowMs();
    deadlineMs = request.deadlineMs();
    promptGuard = PromptGuard.withoutPrompt(ports, request.requestId());
    trace = ForwardedTrace.create(ports.trace(), request.requestId());
    position = StreamPosition.after(forwarded.lastEventId());
    history = AttemptHistory.after(forwarded.earlierRuns());
    relay = RelayStage.create(ports, request, response, history, this);
  }

  static ForwardedFlow create(
      ForwardPorts ports, DrainLimit drainLimit, RouterRequest request, CallerSink sink) {
    ForwardedRequest forwarded = request.forwarded();
    if (forwarded == null) {
      throw new IllegalArgumentException("not a forwarded request");
    }
    return new ForwardedFlow(ports, drainLimit, request, forwarded, sink);
  }

  private Assignment assigned() {
    if (assignment == null) {
      throw new IllegalStateException("the route is not known yet");
    }
    return assignment;
  }

  private Route route() {
    return assigned().request().route();
  }

  private EndpointSelection selection() {
    return assigned().selection();
  }

  private OutcomeRecorder outcomes() {
    return assigned().outcomes();
  }

  private SizeEscalation sizes() {
    return assigned().sizes();
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
    Account account = matchedRoute.anonymous() ? Account.anonymous() : authenticate();
    ResolvedRequest resolved = ResolvedRequest.of(request, forwarded, matchedRoute, account);
    String service = resolved.service();
    EndpointSelection selection = EndpointSelection.create(ports, resolved);
    assignment =
        new Assignment(
            resolved,
            selection,
            OutcomeRecorder.create(ports.rollouts(), matchedRoute, service),
            SizeEscalation.create(ports.sizeCascade(), matchedRoute, selection));
    deadlineMs = resolved.deadlineMs();
    if (!relay.isLikely()) {
      ports.retryBudget().recordRequest(service);
    }
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
    Optional<RefusalException> refusal = refusalWhileQueued();
    if (refusal.isPresent()) {
      throw refusal.get();
    }
  }

  /** Returns the refusal of a request that is not sent yet and that cannot be served any more. */
  private Optional<RefusalException> refusalWhileQueued() {
    return promptGuard
        .refusal(history.ran())
        .or(selection()::refusalOfLack)
        .or(this::refusalOfStop);
  }

  /** Returns the refusal of a request that did not run and would outlast the stop of this node. */
  private Optional<RefusalException> refusalOfStop() {
    return history.ran() != Ran.NO || drainLimit.admits(route(), ports.clock().nowMs())
        ? Optional.empty()
        : Optional.of(Refusals.nodeLeaving());
  }

  private Account authenticate() {
    return table
        .account(forwarded.apiKey())
        .orElseThrow(
            () -> RefusalException.notRun(ResultCode.TOKEN_WRONG, "no account holds this key"));
  }

  private long timeLeftMs() {
    return deadlineMs - ports.clock().nowMs();
  }

  @Override
  CompletableFuture<Permit> admit() {
    if (relay.isLikely()) {
      // The helper admits the request; few are tried here, and those need no queue.
      return CompletableFuture.completedFuture(usedTokens -> {});
    }
    return ports.queue().admit(assigned().request().slotRequest());
  }

  @Override
  void proceed() {
    admittedMs = ports.clock().nowMs();
    choose();
  }

  private void choose() {
    enter(Stage.CHOOSING);
    Optional<RefusalException> quarantined = promptGuard.refusal(history.ran());
    if (quarantined.isPresent()) {
      obstacle = RetryObstacle.QUARANTINE;
      refuse(quarantined.get());
      return;
    }
    Optional<RefusalException> leaving = refusalOfStop();
    if (leaving.isPresent()) {
      refuse(leaving.get());
      return;
    }
    if (relay.isDue()) {
      handOver();
      return;
    }
    Optional<EndpointSelection.Candidate> found =
        selection().find(sizes().size(), history.triedEndpoints());
    if (found.isEmpty() && relay.isLikely()) {
      ports.reach().onTrialUnused();
      handOver();
    } else if (found.isEmpty()) {
      obstacle = RetryObstacle.NO_ENDPOINT;
      awaitEndpointOrRefuse(
          ResultCode.NO_ENDPOINT,
          "no endpoint of " + assigned().request().service() + " is usable");
    } else if (retryOwed && !selection().trySpendRetry(waited)) {
      obstacle = RetryObstacle.BUDGET;
      awaitEndpointOrRefuse(failureCode, "the retry budget is spent");
    } else {
      dispatch(found.get());
    }
  }

  private void handOver() {
    if (retryOwed && !selection().trySpendRetry(waited)) {
      obstacle = RetryObstacle.BUDGET;
      awaitEndpointOrRefuse(failureCode, "the retry budget is spent");
      return;
    }
    retryOwed = false;
    enter(Stage.CALLING);
    continueStream();
    relay.start();
  }

  private void continueStream() {
    if (response.isStarted()) {
      position.onContinued();
    }
  }

  @Override
  public void guarded(Runnable step) {
    guard(step);
  }

  @Override
  public ResolvedRequest resolved() {
    return assigned().request();
  }

  @Override
  public void passEvent(EndpointResponseHead head, ByteString event) {
    passBlock(head, event);
  }

  /**
   * Passes a block of a stream on as far as the caller lacks it; returns whether it is progress.
   */
  private boolean passBlock(EndpointResponseHead head, ByteString received) {
    ByteString block = position.withoutMark(received);
    switch (position.accept(block)) {
      case PASS -> {
        if (!response.isStarted()) {
          response.relayHead(head);
          recordFirstByte();
        }
        eventCount++;
        response.sendEvent(block);
        return true;
      }
      case PASS_COMMENT -> {
        if (response.isStarted()) {
          response.sendEvent(block);
        }
      }
      case DROP -> {}
      case CUT ->
          refuse(
              RefusalException.of(
                  ResultCode.ENDPOINT_FAILED, Ran.YES, 0, "continued stream without event ids"));
      default -> throw new IllegalStateException("unknown action");
    }
    return false;
  }

  @Override
  public void passBody(EndpointResponseHead head, ByteString body) {
    recordFirstByte();
    response.relayComplete(head, body);
    end(head.isSuccess() ? ResultCode.OK : ResultCode.ENDPOINT_FAILED);
  }

  @Override
  public void passEnd() {
    response.endStream();
    end(ResultCode.OK);
  }

  @Override
  public void onPeerLost(String detail) {
    endRule = "PEER";
    retryOwed = true;
    failureCode = ResultCode.OUTCOME_UNKNOWN;
    obstacle = currentObstacle();
    if (obstacle == RetryObstacle.NONE) {
      obstacle = history.obstacle(route(), true);
    }
    if (obstacle == RetryObstacle.NONE) {
      choose();
    } else {
      awaitEndpointOrRefuse(failureCode, "the helping node was lost: " + detail);
    }
  }

  @Override
  public void onNoPeer(ResultCode code, long retryAfterMs, String detail) {
    obstacle = RetryObstacle.NO_ENDPOINT;
    if (history.ran() == Ran.NO && retryAfterMs > 0) {
      refuse(RefusalException.notRunRetryable(code, retryAfterMs, detail));
    } else {
      awaitEndpointOrRefuse(ResultCode.NO_PATH, detail);
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
    history.allowOneMore();
    if (attempt != null) {
      Set<String> last = Set.of(attempt.endpoint().getId());
      if (selection().find(sizes().size(), last).isPresent()) {
        history.excludeOnly(last);
      }
    }
    waited = true;
    choose();
  }

  private void dispatch(EndpointSelection.Candidate next) {
    EndpointRecord endpoint = next.endpoint();
    enter(Stage.CALLING);
    continueStream();
    history.onSent(endpoint.getId());
    model = selection().modelOf(sizes().size());
    outcomes().onDispatched(model);
    response.setModelVersion(model, endpoint.getVersion(), false, "");
    Attempt a =
        Attempt.create(
            endpoint,
            assigned()
                .request()
                .endpointRequest(
                    endpoint,
                    model,
                    lastEventId(),
                    ports.clock().nowMs(),
                    () -> isWithdrawn(endpoint)),
            assigned().request().timeouts(history.isRetryable(route())),
            ports.clock(),
            ports.reach().track(endpoint, ports.chooser().track(endpoint.getId(), next.query())),
            this);
    attempt = a;
    trace.dispatched(
        route().name(), endpoint, model, history.sendCount(), table.version(), timeLeftMs());
    promptGuard.onSent(endpoint);
    a.start(ports.endpointClient(), request.promptTokens() + request.maxTokens());
  }

  /** Returns whether the request must not be sent any more; may be asked on any thread. */
  private boolean isWithdrawn(EndpointRecord endpoint) {
    return response.isAbandoned() || selection().isWithdrawnFrom(endpoint);
  }

  @Override
  public String lastEventId() {
    return position.lastId();
  }

  @Override
  public void onNotice(Attempt a, EndpointNotice notice) {
    EndpointNotice.Effect effect = ports.chooser().onNotice(a.endpoint(), notice, a.sentMs());
    trace.notice(a.endpoint(), notice, effect);
  }

  @Override
  public boolean isFault(Attempt a, EndpointResponseHead head) {
    reportLoad(a, head);
    if (response.isStarted() && !response.isContinuedBy(head)) {
      return true;
    }
    if (!head.isSuccess()) {
      return HttpStatus.isEndpointFault(head.status())
          && isSuccessorPaid(sizes().size(), history.triedEndpoints(), false);
    }
    if (!head.authentic()) {
      return true;
    }
    escalating =
        !response.isStarted()
            && sizes()
                .isDue(
                    a.endpoint().getVersion(),
                    head.confidence(),
                    assigned().request().objectiveMs() - ports.clock().nowMs(),
                    promptGuard.mayRepeat())
            && isSuccessorPaid(sizes().nextSize(), Set.of(), false);
    return escalating;
  }

  /**
   * Finds and pays for an endpoint that takes over from the current attempt. Returns whether it
   * did; otherwise the attempt is the best that the request has.
   *
   * @param forSilence whether the current attempt is merely silent
   */
  private boolean isSuccessorPaid(int size, Set<String> excluded, boolean forSilence) {
    obstacle = currentObstacle();
    if (obstacle == RetryObstacle.NONE) {
      obstacle = history.obstacleAfterRun(route());
    }
    if (obstacle == RetryObstacle.NONE && !promptGuard.mayRepeat()) {
      obstacle = RetryObstacle.QUARANTINE;
    }
    if (obstacle != RetryObstacle.NONE) {
      return false;
    }
    Optional<EndpointSelection.Candidate> found = selection().find(size, excluded);
    if (found.isEmpty()) {
      obstacle = RetryObstacle.NO_ENDPOINT;
    } else if (promptGuard.refusal(history.ran()).isPresent()) {
      obstacle = RetryObstacle.QUARANTINE;
    } else if (!selection().trySpendRetry(forSilence)) {
      obstacle = RetryObstacle.BUDGET;
    } else {
      successor = found.get();
    }
    return successor != null;
  }

  private void reportLoad(Attempt a, EndpointResponseHead head) {
    EndpointResponseHead.CurrentLoad load = head.load();
    if (load != null) {
      ports
          .chooser()
          .onLoad(
              new EndpointLoad(
                  a.endpoint().getId(),
                  load.running(),
                  load.waiting(),
                  0,
                  ports.clock().nowMs(),
                  load.workPercent()));
    }
  }

  @Override
  public boolean onData(Attempt a, ByteString data) {
    history.onAnswering();
    if (route().kind() != RouteKind.STREAMING || !a.head().isSuccess()) {
      return false;
    }
    if (passBlock(a.head(), data)) {
      outcomes().onFirstEvent(a);
      promptGuard.onEvent();
    }
    return true;
  }

  private void recordFirstByte() {
    if (firstByteMs < 0) {
      firstByteMs = ports.clock().nowMs() - arrivedMs;
    }
  }

  @Override
  public void onResponse(Attempt a, EndpointUsage usage) {
    history.onAnswering();
    boolean success = a.head().isSuccess();
    promptGuard.onResponse(success);
    drainLimit.onResponse(route(), a.elapsedMs());
    if (HttpStatus.isEndpointFault(a.status())) {
      outcomes().onFailed(a);
    } else {
      outcomes().onAnswered(a, eventCount);
    }
    if (!response.isStarted()) {
      recordFirstByte();
      response.relayComplete(a.head(), ByteString.copyFrom(a.bufferedData()));
    } else if (success) {
      response.endStream();
    } else {
      refuse(RefusalException.of(ResultCode.ENDPOINT_FAILED, Ran.YES, 0, "status " + a.status()));
      return;
    }
    end(success ? ResultCode.OK : ResultCode.ENDPOINT_FAILED);
  }

  @Override
  public void onFault(Attempt a, Attempt.Fault fault) {
    EndpointSelection.Candidate next = successor;
    successor = null;
    if (escalating && next != null) {
      escalating = false;
      promptGuard.onAbandoned();
      history.onReplaced();
      sizes().escalate();
      dispatch(next);
      return;
    }
    endRule = fault == Attempt.Fault.SILENT ? silenceRule.name() : fault.name();
    trace.fault(a, fault, route().name(), endRule, eventCount);
    // A call that broke for lack of a path is taken like one of an endpoint that left.
    final boolean promptAllows =
        promptGuard.onFault(fault, selection().hasLeft(a) || ports.reach().isCut());
    boolean notRun = fault == Attempt.Fault.NOT_SENT || fault == Attempt.Fault.NOT_RUN;
    if (notRun) {
      history.onNotRun();
    } else {
      history.onMayHaveRun();
      if (ports.reach().isCut()) {
        outcomes().onNodeResumed();
      } else if (fault == Attempt.Fault.SILENT && route().kind() == RouteKind.STREAMING) {
        outcomes().onFirstEvent(a);
      } else if (fault == Attempt.Fault.ERROR_STATUS) {
        outcomes().onFailed(a);
      } else {
        outcomes().onAnswered(a, eventCount);
      }
    }
    if (next != null) {
      letGo = true;
      dispatch(next);
      return;
    }
    retryOwed = fault != Attempt.Fault.NOT_SENT && !retryPaid;
    retryPaid = false;
    failureCode = Refusals.codeOf(fault);
    obstacle = currentObstacle();
    if (!promptAllows) {
      obstacle = RetryObstacle.QUARANTINE;
    } else if (obstacle == RetryObstacle.NONE) {
      obstacle = history.obstacle(route(), !notRun);
    }
    if (obstacle == RetryObstacle.NONE) {
      choose();
    } else {
      awaitEndpointOrRefuse(failureCode, "endpoint fault: " + fault);
    }
  }

  /** Returns whether the caller, the deadline or its stream keeps the request from another run. */
  private RetryObstacle currentObstacle() {
    if (callerDisconnected || response.isAbandoned()) {
      return RetryObstacle.CALLER_GONE;
    }
    if (deadlineExpired || timeLeftMs() < MIN_RETRY_TIME_LEFT_MS) {
      return RetryObstacle.TIME;
    }
    if (response.isStarted() && !position.isContinuable()) {
      return RetryObstacle.NOT_REPEATABLE;
    }
    return RetryObstacle.NONE;
  }

  /**
   * Returns a refusal that reflects whether the request ran. Only one that never ran gets a 503.
   */
  private RefusalException notServedRefusal(ResultCode code, String detail) {
    if (history.ran() == Ran.NO) {
      if (code == ResultCode.NO_PATH && !deadlineExpired) {
        return selection().notServed(code, detail);
      }
      return deadlineExpired
          ? selection().notServed(ResultCode.DEADLINE_UNREACHABLE, detail)
          : selection()
              .refusalOfLack()
              .orElseGet(() -> selection().notServed(ResultCode.NO_ENDPOINT, detail));
    }
    boolean unserved = code == ResultCode.NO_ENDPOINT || code == ResultCode.NO_PATH;
    ResultCode reportedCode = unserved ? ResultCode.ENDPOINT_FAILED : code;
    return RefusalException.of(reportedCode, history.ran(), 0, detail);
  }

  @Override
  void onNodeResumed(long pauseMs) {
    if (isIn(Stage.CALLING) && attempt != null) {
      attempt.leaveOutPause(pauseMs);
      outcomes().onNodeResumed();
    }
  }

  @Override
  void onTick(long nowMs) {
    if (nowMs >= deadlineMs) {
      onDeadline();
    } else if (isIn(Stage.ADMITTING)) {
      refusalWhileQueued().ifPresent(this::refuse);
    } else if (isIn(Stage.CHOOSING) && nowMs >= nextSuccessorMs) {
      chooseAgain();
    } else if (isIn(Stage.CALLING) && attempt != null && !attempt.isEnded()) {
      Attempt current = attempt;
      if (ports.reach().judgesSilence(current.sentMs())) {
        outcomes().onTick(current);
      }
      if (relay.isLikely()) {
        if (isLostWithPath(current, nowMs)
            && (ports.reach().isTrial(current.sentMs()) || selection().trySpendRetry(true))) {
          retryPaid = true;
          silenceRule = SilenceRule.NO_PATH;
          current.failOnTimeout();
        }
      } else if (nowMs >= nextSuccessorMs && hasTimedOut(current, nowMs)) {
        nextSuccessorMs = nowMs + SUCCESSOR_INTERVAL_MS;
        if (isSuccessorPaid(sizes().size(), history.triedEndpoints(), true)) {
          current.failOnTimeout();
        }
      }
    }
  }

  /** Returns whether a peer should take over from an attempt that is silent for lack of a path. */
  private boolean isLostWithPath(Attempt a, long nowMs) {
    return a.isIdleFor(UNREACHABLE_IDLE_TIMEOUT_MS, nowMs)
        && (a.hasResponseHead() || a.isHeadOverdue(MAX_RELATIVE_TIME_WITHOUT_PATH))
        && history.isRetryable(route())
        && promptGuard.mayRepeat();
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
    return history.isRetryable(route())
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
    if (isIn(Stage.CALLING)) {
      history.markUnknown();
    }
    refuse(
        history.ran() == Ran.NO
            ? Refusals.nodeLeaving()
            : RefusalException.of(
                ResultCode.OUTCOME_UNKNOWN,
                history.ran(),
                0,
                "the node stopped before the response"));
  }

  /** Cancels the request, except for an unsafe call in progress, which runs to completion. */
  @Override
  void onCallerDisconnected() {
    response.discard();
    if (isDone()) {
      return;
    }
    callerDisconnected = true;
    if (isIn(Stage.CALLING) && !relay.isOpen() && route().kind() == RouteKind.UNSAFE) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    end(ResultCode.CALLER_GONE);
  }

  @Override
  public void refuse(RefusalException e) {
    if (attempt != null) {
      attempt.cancel();
    }
    response.refuse(e);
    end(e.code());
  }

  private void end(ResultCode code) {
    relay.cancel();
    promptGuard.onAbandoned();
    close(0);
    long totalMs = ports.clock().nowMs() - arrivedMs;
    String routeName = route == null ? "" : route.name();
    String account = assignment == null ? "" : assignment.request().account().name();
    String service = assignment == null ? "" : assignment.request().service();
    ports
        .outcomes()
        .accept(
            new RequestOutcome(
                account,
                routeName,
                response.model(),
                response.version(),
                service,
                code,
                history.ran(),
                response.sentStatus(),
                firstByteMs < 0 ? totalMs : firstByteMs,
                totalMs,
                0,
                history.sendCount()));
    trace.ended(
        routeName,
        service,
        new ForwardedTrace.End(
            account,
            code,
            history.ran(),
            response.sentStatus(),
            history.sendCount(),
            eventCount,
            beganMs - arrivedMs,
            (admittedMs < 0 ? arrivedMs + totalMs : admittedMs) - beganMs,
            firstByteMs,
            totalMs,
            endRule,
            obstacle,
            relay.helper(),
            attempt),
        table.version(),
        ports.routes().current().version());
  }
}
