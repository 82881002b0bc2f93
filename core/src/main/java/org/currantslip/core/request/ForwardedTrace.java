package org.currantslip.core.request;

import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * Records the decisions on one forwarded request for diagnostics.
 *
 * <p>The two lines of each request are concatenated, which takes a fraction of the time that a
 * format string takes.
 */
final class ForwardedTrace {
  private final RequestTrace trace;
  private final String requestId;

  private ForwardedTrace(RequestTrace trace, String requestId) {
    this.trace = trace;
    this.requestId = requestId;
  }

  static ForwardedTrace create(RequestTrace trace, String requestId) {
    return new ForwardedTrace(trace, requestId);
  }

  /** Records that a request is sent to an endpoint. */
  void dispatched(
      String route,
      EndpointRecord endpoint,
      String model,
      int sendCount,
      long configVersion,
      long leftMs) {
    trace.record(
        LogEvent.REQUEST_DISPATCHED,
        requestId,
        () ->
            "route="
                + route
                + " endpoint="
                + endpoint.getId()
                + " version="
                + endpoint.getVersion()
                + " model="
                + model
                + " send="
                + sendCount
                + " config_version="
                + configVersion
                + " left_ms="
                + leftMs);
  }

  /** Records what an endpoint said of itself, if that has an effect. */
  void notice(EndpointRecord endpoint, EndpointNotice notice, EndpointNotice.Effect effect) {
    if (effect == EndpointNotice.Effect.NONE) {
      return;
    }
    trace.record(
        LogEvent.ENDPOINT_NOTICE,
        requestId,
        () ->
            "endpoint=%s leaving=%s retry_after_s=%s limit=%s limit_per_s=%s effect=%s"
                .formatted(
                    endpoint.getId(),
                    notice.leaving(),
                    notice.retryAfterS(),
                    notice.limit().kind(),
                    notice.limit().perS(),
                    effect));
  }

  /** Records a failed attempt. */
  void fault(Attempt a, Attempt.Fault fault, String route, String rule, int eventCount) {
    trace.record(
        LogEvent.ATTEMPT_FAILED,
        requestId,
        () ->
            ("route=%s endpoint=%s fault=%s rule=%s status=%d framing=%s events=%d age_ms=%d"
                    + " silent_ms=%d endpoint_silent_ms=%d reason=%s")
                .formatted(
                    route,
                    a.endpoint().getId(),
                    fault,
                    rule,
                    a.status(),
                    a.head().framing(),
                    eventCount,
                    a.elapsedMs(),
                    a.silentMs(),
                    a.endpointSilentMs(),
                    a.failureDetail()));
  }

  /**
   * End of a request.
   *
   * @param startWaitMs time from the arrival of the request to its first step
   * @param queueMs time from that step to admission, or to the end if it was not admitted
   * @param lacked what kept the request from another endpoint
   * @param helper peer that the request was last relayed to, or empty
   * @param attempt last attempt, or null if the request was not sent
   */
  record End(
      String account,
      ResultCode code,
      Ran ran,
      int status,
      int sends,
      int events,
      long startWaitMs,
      long queueMs,
      long firstByteMs,
      long totalMs,
      String rule,
      RetryObstacle lacked,
      String helper,
      @Nullable Attempt attempt) {}

  /** Records the end of a request. */
  void ended(String route, String service, End end, long configVersion, long currentConfigVersion) {
    Attempt attempt = end.attempt();
    trace.record(
        end.code() == ResultCode.OK ? LogEvent.REQUEST_ENDED : LogEvent.REQUEST_FAILED,
        requestId,
        () ->
            "route="
                + route
                + " account="
                + end.account()
                + " service="
                + service
                + " config_version="
                + configVersion
                + " code="
                + end.code().number()
                + " result="
                + end.code()
                + " ran="
                + end.ran().text()
                + " status="
                + end.status()
                + " sends="
                + end.sends()
                + " events="
                + end.events()
                + " wait_ms="
                + end.startWaitMs()
                + " queue_ms="
                + end.queueMs()
                + " first_byte_ms="
                + end.firstByteMs()
                + " total_ms="
                + end.totalMs()
                + " helper="
                + end.helper()
                + " endpoint="
                + (attempt == null ? "" : attempt.endpoint().getId())
                + " framing="
                + (attempt == null ? "" : attempt.head().framing())
                + " rule="
                + end.rule()
                + " lacked="
                + end.lacked()
                + " silent_ms="
                + (attempt == null ? -1 : attempt.silentMs())
                + " end_config_version="
                + currentConfigVersion);
  }
}
