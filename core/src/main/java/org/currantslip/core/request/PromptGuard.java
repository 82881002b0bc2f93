package org.currantslip.core.request;

import java.util.Optional;
import java.util.stream.Collectors;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.quarantine.Admission;
import org.currantslip.core.quarantine.EndpointInstance;
import org.currantslip.core.quarantine.PromptCall;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.quarantine.RequestFingerprints;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * Applies the quarantine of requests and prompt parts to one request.
 *
 * <p>Reports each call of the request to the quarantine, and decides whether the request may be
 * sent at all, and whether it may be sent again after a broken call.
 */
final class PromptGuard {
  /** Events of a response that show that the endpoint survived the start of the response. */
  private static final int MIN_PROGRESS_EVENTS = 2;

  private static final String QUARANTINED = "endpoints crash under the request or its prompt";

  private final PromptQuarantine quarantine;
  private final RequestTrace trace;
  private final String requestId;
  private final RequestFingerprints fingerprints;
  private final int earlierCrashCount;
  private @Nullable PromptCall call;
  private int callEvents;
  private int brokenCount;
  private int crashCount;
  private boolean trial;

  private PromptGuard(
      PromptQuarantine quarantine,
      RequestTrace trace,
      String requestId,
      RequestFingerprints fingerprints) {
    this.quarantine = quarantine;
    this.trace = trace;
    this.requestId = requestId;
    this.fingerprints = fingerprints;
    earlierCrashCount = quarantine.crashCount(fingerprints);
  }

  static PromptGuard create(
      PromptQuarantine quarantine,
      RequestTrace trace,
      String requestId,
      RequestFingerprints fingerprints) {
    return new PromptGuard(quarantine, trace, requestId, fingerprints);
  }

  /** Returns a guard that knows of no prompt. */
  static PromptGuard withoutPrompt(ForwardPorts ports, String requestId) {
    return create(ports.quarantine(), ports.trace(), requestId, RequestFingerprints.none());
  }

  /**
   * Returns a refusal if the request may not be sent now. To be asked right before each sending.
   *
   * @param ran whether the request has run so far
   */
  Optional<RefusalException> refusal(Ran ran) {
    Admission admission = quarantine.check(fingerprints);
    trial = admission.kind() == Admission.Kind.SEND_AS_TRIAL;
    if (!admission.isRefused()) {
      return Optional.empty();
    }
    trace.record(
        LogEvent.PROMPT_REFUSED,
        requestId,
        () -> verdicts() + " ran=%s retry_after_ms=%d".formatted(ran, admission.retryAfterMs()));
    return Optional.of(
        ran == Ran.NO
            ? RefusalException.notRunRetryable(
                ResultCode.PROMPT_QUARANTINED, admission.retryAfterMs(), QUARANTINED)
            : RefusalException.of(ResultCode.ENDPOINT_FAILED, ran, 0, QUARANTINED));
  }

  private String verdicts() {
    return quarantine.verdicts(fingerprints).stream()
        .map(
            v ->
                "service=%s part=%s age_ms=%d failed_trials=%d"
                    .formatted(v.getService(), v.getPart(), v.getAgeMs(), v.getFailedTrials()))
        .collect(Collectors.joining(" "));
  }

  /** Records that the request is sent to an endpoint. */
  void onSent(EndpointRecord endpoint) {
    if (trial) {
      trace.record(
          LogEvent.PROMPT_TRIAL,
          requestId,
          () -> verdicts() + " endpoint=%s".formatted(endpoint.getId()));
    }
    callEvents = 0;
    call = quarantine.onSent(fingerprints, EndpointInstance.of(endpoint));
  }

  /** Records an event of a successful response. */
  void onEvent() {
    callEvents++;
    if (call != null && hasProgressed()) {
      quarantine.onProgress(call);
    }
  }

  private boolean hasProgressed() {
    return callEvents >= MIN_PROGRESS_EVENTS;
  }

  /** Records the complete end of a response. */
  void onResponse(boolean success) {
    PromptCall ended = takeCall();
    if (ended != null) {
      if (success) {
        quarantine.onAnswered(ended);
      } else {
        quarantine.onEnded(ended);
      }
    }
  }

  /**
   * Records a failed call and returns whether the request may be sent again, as far as its
   * quarantine is concerned.
   *
   * @param endpointLeft whether the endpoint left as planned
   */
  boolean onFault(Attempt.Fault fault, boolean endpointLeft) {
    PromptCall ended = takeCall();
    if (ended == null) {
      return true;
    }
    switch (fault) {
      case BROKEN, TRUNCATED -> {
        if (endpointLeft) {
          quarantine.onEnded(ended);
        } else {
          quarantine.onBroken(ended);
          brokenCount++;
          crashCount += hasProgressed() ? 0 : 1;
        }
      }
      case SILENT, CROSSED -> quarantine.onAbandoned(ended);
      case NOT_SENT -> quarantine.onNotSent(ended);
      default -> quarantine.onEnded(ended);
    }
    boolean notRun = fault == Attempt.Fault.NOT_SENT || fault == Attempt.Fault.NOT_RUN;
    boolean mayRepeat = notRun || (hasProgressed() ? requestMayRepeat() : mayRepeat());
    if (!mayRepeat) {
      trace.record(
          LogEvent.REPEAT_VETOED,
          requestId,
          () ->
              "service=%s fault=%s crashes=%d earlier_crashes=%d trial=%b"
                  .formatted(fingerprints.service(), fault, brokenCount, earlierCrashCount, trial));
    }
    return mayRepeat;
  }

  /** Returns whether the request may be sent to a further endpoint after it may have run. */
  boolean mayRepeat() {
    return !trial && quarantine.mayRepeatPrompt(fingerprints, crashCount) && requestMayRepeat();
  }

  private boolean requestMayRepeat() {
    return quarantine.mayRepeatRequest(fingerprints, earlierCrashCount + brokenCount);
  }

  /** Records that the router gave up the current call, if there is one. */
  void onAbandoned() {
    PromptCall abandoned = takeCall();
    if (abandoned != null) {
      quarantine.onAbandoned(abandoned);
    }
  }

  private @Nullable PromptCall takeCall() {
    PromptCall taken = call;
    call = null;
    return taken;
  }
}
