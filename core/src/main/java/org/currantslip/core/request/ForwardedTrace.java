package org.currantslip.core.request;

import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/** Records the decisions on one forwarded request for diagnostics. */
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
            "route=%s endpoint=%s version=%s model=%s send=%d config_version=%d left_ms=%d"
                .formatted(
                    route,
                    endpoint.getId(),
                    endpoint.getVersion(),
                    model,
                    sendCount,
                    configVersion,
                    leftMs));
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
      @Nullable Attempt attempt) {}

  /** Records the end of a request. */
  void ended(String route, String service, End end, long configVersion, long currentConfigVersion) {
    Attempt attempt = end.attempt();
    trace.record(
        end.code() == ResultCode.OK ? LogEvent.REQUEST_ENDED : LogEvent.REQUEST_FAILED,
        requestId,
        () ->
            ("route=%s account=%s service=%s config_version=%d code=%d result=%s ran=%s"
                    + " status=%d sends=%d events=%d wait_ms=%d queue_ms=%d first_byte_ms=%d"
                    + " total_ms=%d endpoint=%s framing=%s rule=%s lacked=%s silent_ms=%d"
                    + " end_config_version=%d")
                .formatted(
                    route,
                    end.account(),
                    service,
                    configVersion,
                    end.code().number(),
                    end.code(),
                    end.ran().text(),
                    end.status(),
                    end.sends(),
                    end.events(),
                    end.startWaitMs(),
                    end.queueMs(),
                    end.firstByteMs(),
                    end.totalMs(),
                    attempt == null ? "" : attempt.endpoint().getId(),
                    attempt == null ? "" : attempt.head().framing(),
                    end.rule(),
                    end.lacked(),
                    attempt == null ? -1 : attempt.silentMs(),
                    currentConfigVersion));
  }
}
