package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.ledger.LedgerDecision;
import org.currantslip.core.limits.AdmissionQuery;
import org.currantslip.core.limits.Permit;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.LedgerResult;
import org.jspecify.annotations.Nullable;

/**
 * Processes a request to the router's own API, which is subject to the rules.
 *
 * <p>Cascades and retries return from {@link Stage#CALLING} to {@link Stage#CHOOSING}.
 */
final class GovernedFlow extends RequestFlow {
  private final RequestPorts ports;
  private final EngineOptions options;
  private final RouterRequest request;
  private final CallerResponse response;
  private final RequestReport report;
  private final UsageStages usageStages = UsageStages.create();
  private final Set<String> triedEndpoints = new HashSet<>();
  private final AtMostOnceGuard guard;
  private final VersionSelector versionSelector;

  private ConfigView config = ConfigView.none();
  private List<String> tiers = List.of();
  private int tier;
  private int attemptsInTier;
  private int attempts;
  private Ran ran = Ran.NO;
  private boolean reachedEndpoint;
  private boolean detached;
  private long detachedUntilMs;
  private @Nullable Attempt attempt;
  private @Nullable PendingWrites pendingWrites;

  private GovernedFlow(
      RequestPorts ports, EngineOptions options, RouterRequest request, CallerSink sink) {
    this.ports = ports;
    this.options = options;
    this.request = request;
    response = CallerResponse.create(request, sink);
    report = RequestReport.create(ports, request, response);
    guard = AtMostOnceGuard.create(ports.ledger(), ports.clock(), request);
    versionSelector = VersionSelector.create(ports, request, response);
  }

  static GovernedFlow create(
      RequestPorts ports, EngineOptions options, RouterRequest request, CallerSink sink) {
    return new GovernedFlow(ports, options, request, sink);
  }

  @Override
  void check() {
    loadCurrentConfig();
    RequestChecks.check(ports, request, config);
    guard.setRequired(RequestChecks.isAtMostOnce(request, config));
    versionSelector.readSession();
    if (request.isService()) {
      response.addRuleLines(RequestChecks.serviceRuleLines(request, config));
    } else {
      tiers = RequestChecks.models(ports, request, config);
    }
  }

  @Override
  CompletableFuture<Permit> admit() {
    long tokens = request.promptTokens() + request.maxTokens();
    return ports
        .admission()
        .admit(
            config,
            new AdmissionQuery(
                request.account(), request.priority(), tokens, request.deadlineMs()));
  }

  private void loadCurrentConfig() {
    config = ports.config().current();
    response.setConfigVersion(config.version());
  }

  @Override
  void proceed() {
    if (guard.isRequired()) {
      enter(Stage.RESERVING);
      whenComplete(guard.reserve(), this::onReserved);
    } else {
      choose();
    }
  }

  private void onReserved(@Nullable LedgerDecision decision, @Nullable Throwable failure) {
    if (isIn(Stage.DONE)) {
      if (decision instanceof LedgerDecision.Run) {
        guard.onReserved();
        guard.finish(LedgerResult.NOT_DISPATCHED);
      }
    } else if (decision instanceof LedgerDecision.Replay replay) {
      ran = Ran.YES;
      var outcome = replay.outcome();
      response.sendComplete(
          outcome.getHttpStatus(), outcome.getContentType(), outcome.getBody(), Ran.YES, true);
      end(ResultCode.OK);
    } else if (decision instanceof LedgerDecision.Run) {
      guard.onReserved();
      choose();
    } else {
      refuse(Refusals.of(failure == null ? new IllegalStateException("no decision") : failure));
    }
  }

  /** Chooses a version and an endpoint using the current configuration. */
  private void choose() {
    enter(Stage.CHOOSING);
    try {
      loadCurrentConfig();
      RequestChecks.checkConfigFresh(ports);
      if (request.isService()) {
        RequestChecks.check(ports, request, config);
        dispatch("", "");
      } else {
        chooseVersion(tiers.get(tier));
      }
    } catch (RefusalException e) {
      skipTierOrRefuse(e);
    }
  }

  private void chooseVersion(String model) {
    whenComplete(
        versionSelector.choose(config, model),
        (version, failure) -> onVersion(model, version, failure));
  }

  private void onVersion(String model, @Nullable String version, @Nullable Throwable failure) {
    if (!isIn(Stage.CHOOSING)) {
      return;
    }
    if (version == null) {
      skipTierOrRefuse(
          Refusals.of(failure == null ? new IllegalStateException("no version") : failure));
      return;
    }
    try {
      dispatch(model, version);
    } catch (RefusalException e) {
      skipTierOrRefuse(e);
    }
  }

  private void dispatch(String model, String version) {
    EndpointQuery query =
        new EndpointQuery(
            model,
            version,
            request.service(),
            request.prefixHash(),
            request.promptTokens(),
            Set.copyOf(triedEndpoints));
    Optional<EndpointRecord> endpoint = ports.chooser().choose(query);
    if (endpoint.isEmpty()) {
      throw Refusals.retryable(
          ResultCode.NO_ENDPOINT, ran, request, "no endpoint of the chosen version is usable");
    }
    if (!guard.mayDispatch()) {
      ran = Ran.UNKNOWN;
      throw Refusals.retryable(
          ResultCode.OUTCOME_UNKNOWN, ran, request, "another node has settled this key");
    }
    enter(Stage.CALLING);
    triedEndpoints.add(endpoint.get().getId());
    final EndpointRequest outgoing = endpointRequest(model, version, attemptsInTier > 0);
    attemptsInTier++;
    attempts++;
    if (!request.isService()) {
      ports.versions().onDispatched(model, version);
    }
    Attempt a =
        Attempt.create(
            endpoint.get(),
            outgoing,
            options,
            ports.clock(),
            ports.chooser().track(endpoint.get().getId(), query),
            this);
    attempt = a;
    a.start(ports.endpointClient(), request.promptTokens() + request.maxTokens());
  }

  private EndpointRequest endpointRequest(String model, String version, boolean retry) {
    return new EndpointRequest(
        request.requestId() + "/" + (attempts + 1),
        request.method(),
        request.path(),
        request.contentType(),
        request.body(),
        model,
        version,
        request.stream(),
        request.priority(),
        request.idempotencyKey() == null ? "" : request.idempotencyKey().key(),
        retry);
  }

  private boolean isLastTier() {
    return tier >= tiers.size() - 1;
  }

  /** Continues with the next, more expensive tier, or refuses the request if there is none. */
  private void skipTierOrRefuse(RefusalException e) {
    boolean configRefusal = e.code() == ResultCode.CONFIG_NOT_FRESH;
    if (request.isService() || isLastTier() || configRefusal || response.isStarted()) {
      refuse(e);
      return;
    }
    escalate();
  }

  private void escalate() {
    tier++;
    attemptsInTier = 0;
    triedEndpoints.clear();
    choose();
  }

  @Override
  public boolean onData(Attempt a, ByteString data) {
    ran = Ran.YES;
    if (!request.stream() || !isLastTier() || a.status() != HttpStatus.OK) {
      return false;
    }
    report.recordFirstByte();
    response.sendEvent(data);
    return true;
  }

  @Override
  public void onResponse(Attempt a, EndpointUsage usage) {
    ran = Ran.YES;
    usageStages.add(config, response.model(), response.version(), a.endpoint().getId(), usage);
    if (!request.isService()) {
      ports.versions().onFinished(response.model(), response.version(), false);
    }
    if (isAccepted(a, usage.confidence())) {
      storeResult(a);
    } else {
      escalate();
    }
  }

  private boolean isAccepted(Attempt a, OptionalDouble confidence) {
    return request.isService()
        || isLastTier()
        || a.status() != HttpStatus.OK
        || ports
            .cascade()
            .accept(config, request.account(), request.task(), response.model(), confidence);
  }

  private void storeResult(Attempt a) {
    enter(Stage.STORING);
    long now = ports.clock().nowMs();
    CompletableFuture<Void> usage = ports.usage().add(usageStages.toRecord(request, response, now));
    CompletableFuture<Void> outcome = guard.finishWithResponse(a);
    PendingWrites writes = PendingWrites.create(usage, outcome, now + options.storeTimeoutMs());
    pendingWrites = writes;
    whenComplete(writes.usage(), (v, t) -> checkPendingWrites());
    whenComplete(writes.outcome(), (v, t) -> checkPendingWrites());
  }

  private void checkPendingWrites() {
    if (!isIn(Stage.STORING) || pendingWrites == null || attempt == null) {
      return;
    }
    PendingWrites.State state = pendingWrites.state(ports.clock().nowMs());
    if (state == PendingWrites.State.STORED) {
      deliver(attempt);
    } else if (state == PendingWrites.State.FAILED) {
      refuse(
          Refusals.retryable(
              ResultCode.USAGE_NOT_SAFE, Ran.YES, request, "the usage record is not safe"));
    }
  }

  private void deliver(Attempt a) {
    report.recordFirstByte();
    if (request.stream() && a.status() == HttpStatus.OK) {
      a.bufferedData().forEach(response::sendEvent);
      response.endStream();
    } else {
      response.sendComplete(
          a.status(), a.contentType(), ByteString.copyFrom(a.bufferedData()), Ran.YES, false);
    }
    end(ResultCode.OK);
  }

  @Override
  public void onFault(Attempt a, Attempt.Fault fault) {
    boolean reached = fault != Attempt.Fault.NOT_SENT && fault != Attempt.Fault.NOT_RUN;
    if (reached) {
      markReached();
    }
    if (!request.isService()) {
      ports.versions().onFinished(response.model(), response.version(), reached);
    }
    if (guard.isReserved() && reached) {
      guard.finish(LedgerResult.UNKNOWN);
      refuse(
          Refusals.retryable(
              ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, request, "the endpoint's answer is lost"));
    } else if (response.isStarted() || !mayRetry(fault)) {
      refuse(Refusals.retryable(Refusals.codeOf(fault), ran, request, "endpoint fault: " + fault));
    } else {
      choose();
    }
  }

  private void markReached() {
    reachedEndpoint = true;
    if (ran == Ran.NO) {
      ran = Ran.UNKNOWN;
    }
  }

  private boolean mayRetry(Attempt.Fault fault) {
    return !detached
        && fault != Attempt.Fault.TOO_LARGE
        && attemptsInTier < options.maxAttempts()
        && ports.clock().nowMs() < request.deadlineMs()
        && ports.admission().tryRetry(request.account());
  }

  @Override
  void onTick(long nowMs) {
    if (isIn(Stage.STORING)) {
      checkPendingWrites();
    } else if (detached) {
      tickDetached(nowMs);
    } else if (nowMs >= request.deadlineMs()) {
      onDeadline(nowMs);
    } else if (isIn(Stage.CALLING) && attempt != null && attempt.hasTimedOut(nowMs)) {
      onTimeout(attempt, nowMs);
    }
  }

  private void tickDetached(long nowMs) {
    if (nowMs >= detachedUntilMs && attempt != null) {
      attempt.failOnTimeout();
    }
  }

  private void onDeadline(long nowMs) {
    if (isIn(Stage.CALLING) && guard.isReserved()) {
      detach(nowMs);
      return;
    }
    if (attempt != null && !attempt.isEnded()) {
      attempt.cancel();
      recordCancelled();
      markReached();
    }
    refuse(
        Refusals.retryable(
            ResultCode.DEADLINE_EXCEEDED, ran, request, "the deadline passed before the answer"));
  }

  private void onTimeout(Attempt a, long nowMs) {
    if (guard.isReserved()) {
      detach(nowMs);
    } else {
      a.failOnTimeout();
    }
  }

  /**
   * Responds to the caller of an at-most-once request immediately but keeps waiting for the
   * endpoint, so that a later request with the same key can be given the outcome.
   */
  private void detach(long nowMs) {
    detached = true;
    detachedUntilMs = nowMs + options.lateResponseTimeoutMs();
    ran = Ran.UNKNOWN;
    response.refuse(
        Refusals.retryable(
            ResultCode.OUTCOME_UNKNOWN, ran, request, "the endpoint has not answered in time"));
  }

  private void recordCancelled() {
    if (!request.isService()) {
      ports.versions().onFinished(response.model(), response.version(), false);
    }
  }

  /** An at-most-once call whose caller already has its response goes on while the node runs. */
  @Override
  void onNodeStop() {
    if (!isIn(Stage.STORING) && !detached) {
      onDeadline(ports.clock().nowMs());
    }
  }

  /** Cancels the request, except for an at-most-once call, which runs to completion. */
  @Override
  void onCallerDisconnected() {
    response.discard();
    if (isIn(Stage.DONE) || isIn(Stage.STORING)) {
      return;
    }
    if (isIn(Stage.CALLING) && guard.isReserved()) {
      if (!detached) {
        detached = true;
        detachedUntilMs = ports.clock().nowMs() + options.lateResponseTimeoutMs();
      }
      return;
    }
    if (attempt != null && !attempt.isEnded()) {
      attempt.cancel();
      recordCancelled();
    }
    finishReservation();
    end(ResultCode.DEADLINE_EXCEEDED);
  }

  @Override
  void refuse(RefusalException e) {
    finishReservation();
    Ran knownRan = e.ran() == Ran.NO ? ranForRefusal() : e.ran();
    RefusalException completed = Refusals.withRan(e, knownRan, request);
    response.refuse(completed);
    ran = completed.ran();
    end(completed.code());
  }

  private Ran ranForRefusal() {
    return ran == Ran.NO && guard.mayHaveOtherAttempt() ? Ran.UNKNOWN : ran;
  }

  private void finishReservation() {
    if (guard.isReserved() && !guard.isFinished()) {
      guard.finish(reachedEndpoint ? LedgerResult.UNKNOWN : LedgerResult.NOT_DISPATCHED);
    }
  }

  private void end(ResultCode code) {
    close(usageStages.tokens());
    report.finish(config, code, ran, usageStages.costMicros(), attempts);
  }
}
