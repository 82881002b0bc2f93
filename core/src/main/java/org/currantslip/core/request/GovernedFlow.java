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
import org.currantslip.core.routing.RouteQuery;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.LedgerResult;
import org.jspecify.annotations.Nullable;

/**
 * A request to this product's own interface, governed by the rules.
 *
 * <p>Cascades and retries go back from {@link Stage#CALLING} to {@link Stage#CHOOSING}.
 */
final class GovernedFlow extends RequestFlow {
  private final RequestPorts ports;
  private final EngineOptions options;
  private final RouterRequest request;
  private final CallerAnswer answer;
  private final RequestReport report;
  private final UsageStages stages = UsageStages.create();
  private final Set<String> tried = new HashSet<>();
  private final AtMostOnceGuard guard;
  private final VersionStep versionStep;

  private ConfigView config = ConfigView.none();
  private List<String> tiers = List.of();
  private int tier;
  private int attemptsInTier;
  private int attempts;
  private Ran ran = Ran.NO;
  private boolean sent;
  private boolean detached;
  private long detachedUntilMs;
  private @Nullable Attempt attempt;
  private @Nullable Settlement settlement;

  private GovernedFlow(
      RequestPorts ports, EngineOptions options, RouterRequest request, CallerSink sink) {
    this.ports = ports;
    this.options = options;
    this.request = request;
    answer = CallerAnswer.create(request, sink);
    report = RequestReport.create(ports, request, answer);
    guard = AtMostOnceGuard.create(ports.ledger(), ports.clock(), request);
    versionStep = VersionStep.create(ports, request, answer);
  }

  static GovernedFlow create(
      RequestPorts ports, EngineOptions options, RouterRequest request, CallerSink sink) {
    return new GovernedFlow(ports, options, request, sink);
  }

  @Override
  void check() {
    useCurrentConfig();
    RequestChecks.check(ports, request, config);
    guard.demand(RequestChecks.isAtMostOnce(request, config));
    versionStep.readSession();
    if (request.isService()) {
      answer.addRuleLines(RequestChecks.serviceLines(request, config));
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

  private void useCurrentConfig() {
    config = ports.config().current();
    answer.useConfig(config.version());
  }

  @Override
  void proceed() {
    if (guard.isDemanded()) {
      enter(Stage.RESERVING);
      whenComplete(guard.reserve(), this::onReserved);
    } else {
      choose();
    }
  }

  private void onReserved(@Nullable LedgerDecision decision, @Nullable Throwable failure) {
    if (isIn(Stage.DONE)) {
      if (decision instanceof LedgerDecision.Run) {
        guard.reserved();
        guard.finish(LedgerResult.NOT_DISPATCHED);
      }
    } else if (decision instanceof LedgerDecision.Replay replay) {
      ran = Ran.YES;
      var outcome = replay.outcome();
      answer.whole(
          outcome.getHttpStatus(), outcome.getContentType(), outcome.getBody(), Ran.YES, true);
      end(ResultCode.OK);
    } else if (decision instanceof LedgerDecision.Run) {
      guard.reserved();
      choose();
    } else {
      refuse(Refusals.of(failure == null ? new IllegalStateException("no decision") : failure));
    }
  }

  /** Chooses version and endpoint under the configuration in force now. */
  private void choose() {
    enter(Stage.CHOOSING);
    try {
      useCurrentConfig();
      RequestChecks.checkFresh(ports);
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
        versionStep.choose(config, model),
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
    RouteQuery query =
        new RouteQuery(
            model,
            version,
            request.service(),
            request.prefixHash(),
            request.promptTokens(),
            Set.copyOf(tried));
    Optional<EndpointRecord> endpoint = ports.chooser().choose(query);
    if (endpoint.isEmpty()) {
      throw Refusals.comeBack(
          ResultCode.NO_ENDPOINT, ran, request, "no endpoint of the chosen version is usable");
    }
    if (!guard.mayDispatch()) {
      ran = Ran.UNKNOWN;
      throw Refusals.comeBack(
          ResultCode.OUTCOME_UNKNOWN, ran, request, "another node has settled this key");
    }
    enter(Stage.CALLING);
    tried.add(endpoint.get().getId());
    final EndpointRequest outgoing = endpointRequest(model, version, attemptsInTier > 0);
    attemptsInTier++;
    attempts++;
    if (!request.isService()) {
      ports.versions().dispatched(model, version);
    }
    Attempt a =
        Attempt.create(
            endpoint.get(),
            outgoing,
            options,
            ports.clock(),
            ports.chooser().use(endpoint.get().getId(), query),
            this);
    attempt = a;
    a.start(ports.calls(), request.promptTokens() + request.maxTokens());
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
        request.key() == null ? "" : request.key().key(),
        retry);
  }

  private boolean isLastTier() {
    return tier >= tiers.size() - 1;
  }

  /** Goes on to a dearer tier when this one cannot be used, or refuses. */
  private void skipTierOrRefuse(RefusalException e) {
    boolean configRefusal = e.code() == ResultCode.CONFIG_NOT_FRESH;
    if (request.isService() || isLastTier() || configRefusal || answer.isOpened()) {
      refuse(e);
      return;
    }
    nextTier();
  }

  private void nextTier() {
    tier++;
    attemptsInTier = 0;
    tried.clear();
    choose();
  }

  @Override
  public boolean onData(Attempt a, ByteString data) {
    ran = Ran.YES;
    if (!request.stream() || !isLastTier() || a.status() != HttpStatus.OK) {
      return false;
    }
    report.firstByte();
    answer.stream(data);
    return true;
  }

  @Override
  public void onAnswer(Attempt a, EndpointUsage usage) {
    ran = Ran.YES;
    stages.add(config, answer.model(), answer.version(), a.endpoint().getId(), usage);
    if (!request.isService()) {
      ports.versions().finished(answer.model(), answer.version(), false);
    }
    if (isAccepted(a, usage.confidence())) {
      settle(a);
    } else {
      nextTier();
    }
  }

  private boolean isAccepted(Attempt a, OptionalDouble confidence) {
    return request.isService()
        || isLastTier()
        || a.status() != HttpStatus.OK
        || ports
            .cascade()
            .accept(config, request.account(), request.task(), answer.model(), confidence);
  }

  private void settle(Attempt a) {
    enter(Stage.SETTLING);
    long now = ports.clock().nowMs();
    CompletableFuture<Void> usage = ports.usage().add(stages.toRecord(request, answer, now));
    CompletableFuture<Void> outcome = guard.finishAnswered(a);
    Settlement s = Settlement.create(usage, outcome, now + options.settleMs());
    settlement = s;
    whenComplete(s.usage(), (v, t) -> checkSettlement());
    whenComplete(s.outcome(), (v, t) -> checkSettlement());
  }

  private void checkSettlement() {
    if (!isIn(Stage.SETTLING) || settlement == null || attempt == null) {
      return;
    }
    Settlement.State state = settlement.state(ports.clock().nowMs());
    if (state == Settlement.State.SETTLED) {
      deliver(attempt);
    } else if (state == Settlement.State.FAILED) {
      refuse(
          Refusals.comeBack(
              ResultCode.USAGE_NOT_SAFE, Ran.YES, request, "the usage record is not safe"));
    }
  }

  private void deliver(Attempt a) {
    report.firstByte();
    if (request.stream() && a.status() == HttpStatus.OK) {
      a.held().forEach(answer::stream);
      answer.endStream();
    } else {
      answer.whole(a.status(), a.contentType(), ByteString.copyFrom(a.held()), Ran.YES, false);
    }
    end(ResultCode.OK);
  }

  @Override
  public void onFault(Attempt a, Attempt.Fault fault) {
    boolean reached = fault != Attempt.Fault.NOT_SENT && fault != Attempt.Fault.NOT_RUN;
    if (reached) {
      noteSent();
    }
    if (!request.isService()) {
      ports.versions().finished(answer.model(), answer.version(), reached);
    }
    if (guard.isReserved() && reached) {
      guard.finish(LedgerResult.UNKNOWN);
      refuse(
          Refusals.comeBack(
              ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN, request, "the endpoint's answer is lost"));
    } else if (answer.isOpened() || !mayRetry(fault)) {
      refuse(Refusals.comeBack(Refusals.codeOf(fault), ran, request, "endpoint fault: " + fault));
    } else {
      choose();
    }
  }

  private void noteSent() {
    sent = true;
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
    if (isIn(Stage.SETTLING)) {
      checkSettlement();
    } else if (detached) {
      tickDetached(nowMs);
    } else if (nowMs >= request.deadlineMs()) {
      onDeadline(nowMs);
    } else if (isIn(Stage.CALLING) && attempt != null && attempt.isSilent(nowMs)) {
      onSilence(attempt, nowMs);
    }
  }

  private void tickDetached(long nowMs) {
    if (nowMs >= detachedUntilMs && attempt != null) {
      attempt.failSilent();
    }
  }

  private void onDeadline(long nowMs) {
    if (isIn(Stage.CALLING) && guard.isReserved()) {
      detach(nowMs);
      return;
    }
    if (attempt != null && !attempt.isEnded()) {
      attempt.cancel();
      countCancelled();
      noteSent();
    }
    refuse(
        Refusals.comeBack(
            ResultCode.DEADLINE_EXCEEDED, ran, request, "the deadline passed before the answer"));
  }

  private void onSilence(Attempt a, long nowMs) {
    if (guard.isReserved()) {
      detach(nowMs);
    } else {
      a.failSilent();
    }
  }

  /**
   * Answers the caller of an at-most-once request now, and goes on waiting for the endpoint, so
   * that a repeated key can be told the outcome.
   */
  private void detach(long nowMs) {
    detached = true;
    detachedUntilMs = nowMs + options.lateAnswerMs();
    ran = Ran.UNKNOWN;
    answer.refuse(
        Refusals.comeBack(
            ResultCode.OUTCOME_UNKNOWN, ran, request, "the endpoint has not answered in time"));
  }

  private void countCancelled() {
    if (!request.isService()) {
      ports.versions().finished(answer.model(), answer.version(), false);
    }
  }

  /** Stops what may be stopped, and lets at-most-once calls end. */
  @Override
  void callerGone() {
    answer.abandon();
    if (isIn(Stage.DONE) || isIn(Stage.SETTLING)) {
      return;
    }
    if (isIn(Stage.CALLING) && guard.isReserved()) {
      if (!detached) {
        detached = true;
        detachedUntilMs = ports.clock().nowMs() + options.lateAnswerMs();
      }
      return;
    }
    if (attempt != null && !attempt.isEnded()) {
      attempt.cancel();
      countCancelled();
    }
    finishUndispatched();
    end(ResultCode.DEADLINE_EXCEEDED);
  }

  @Override
  void refuse(RefusalException e) {
    finishUndispatched();
    Ran said = e.ran() == Ran.NO ? ranOfRefusal() : e.ran();
    RefusalException truthful = Refusals.complete(e, said, request);
    answer.refuse(truthful);
    ran = truthful.ran();
    end(truthful.code());
  }

  private Ran ranOfRefusal() {
    return ran == Ran.NO && guard.mayRunElsewhere() ? Ran.UNKNOWN : ran;
  }

  private void finishUndispatched() {
    if (guard.isReserved() && !guard.isFinished()) {
      guard.finish(sent ? LedgerResult.UNKNOWN : LedgerResult.NOT_DISPATCHED);
    }
  }

  private void end(ResultCode code) {
    close(stages.tokens());
    report.finish(config, code, ran, stages.costMicros(), attempts);
  }
}
