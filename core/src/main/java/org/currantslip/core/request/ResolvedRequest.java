package org.currantslip.core.request;

import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import org.currantslip.core.limits.SlotRequest;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.Homes;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteKind;
import org.currantslip.schema.EndpointRecord;

/**
 * A forwarded request with the route, account and service that the configuration assigns to it.
 *
 * @param deadlineMs the caller's deadline or the timeout of the route, whichever comes first
 */
record ResolvedRequest(
    RouterRequest request,
    ForwardedRequest forwarded,
    Route route,
    Account account,
    String service,
    long deadlineMs) {
  private static final long NO_TIMEOUT_MS = Long.MAX_VALUE / 4;

  /**
   * First-byte timeout of an idempotent request, as a multiple of its latency objective. A request
   * this late is better retried on another endpoint.
   */
  private static final long FIRST_BYTE_TIMEOUT_OBJECTIVES = 2;

  private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 500;

  /** A full batch or a preempted request pauses a stream for about one second. */
  private static final long MIN_IDLE_TIMEOUT_MS = 1_000;

  private static final long MAX_BUFFERED_BYTES = 16L << 20;

  static ResolvedRequest of(
      RouterRequest request, ForwardedRequest forwarded, Route route, Account account) {
    return new ResolvedRequest(
        request,
        forwarded,
        route,
        account,
        route.serviceFor(request.requestId()),
        Math.min(request.deadlineMs(), forwarded.arrivedMs() + route.timeoutMs()));
  }

  boolean isStream() {
    return route.kind() == RouteKind.STREAMING;
  }

  /** Returns the regions that both the route and the account allow. */
  Homes homes() {
    return Homes.of(route.homes()).and(Homes.of(account.homes()));
  }

  /** Returns the time by which the response, or the first event of a stream, is due. */
  long objectiveMs() {
    return forwarded.arrivedMs() + route.objectiveMs();
  }

  private int priority() {
    OptionalInt accountPriority = account.priority();
    return accountPriority.isPresent() ? accountPriority.getAsInt() : route.priority();
  }

  SlotRequest slotRequest() {
    return new SlotRequest(
        service,
        account.name(),
        priority(),
        forwarded.arrivedMs(),
        objectiveMs(),
        deadlineMs,
        forwarded.prompt(),
        homes());
  }

  EndpointRequest endpointRequest(
      EndpointRecord endpoint,
      String model,
      String lastEventId,
      long nowMs,
      BooleanSupplier abandoned) {
    return new EndpointRequest(
        request.requestId(),
        request.method(),
        request.path(),
        request.contentType(),
        request.body(),
        model,
        endpoint.getVersion(),
        isStream(),
        priority(),
        "",
        true,
        new ForwardedCall(
            forwarded.fields(),
            endpoint.getId(),
            account.name(),
            Math.max(1, deadlineMs - nowMs),
            priority(),
            lastEventId,
            abandoned));
  }

  /**
   * Returns the timeouts of an attempt. If the request cannot be retried, only its deadline
   * applies.
   */
  EngineOptions timeouts(boolean retryable) {
    long firstByteTimeoutMs =
        retryable
            ? Math.max(
                MIN_FIRST_BYTE_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_OBJECTIVES * route.objectiveMs())
            : NO_TIMEOUT_MS;
    long idleTimeoutMs =
        retryable ? Math.max(MIN_IDLE_TIMEOUT_MS, 2 * route.eventGapMs()) : NO_TIMEOUT_MS;
    return EngineOptions.withBufferLimit(firstByteTimeoutMs, idleTimeoutMs, MAX_BUFFERED_BYTES);
  }
}
