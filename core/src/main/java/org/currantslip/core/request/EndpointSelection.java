package org.currantslip.core.request;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.route.Homes;
import org.currantslip.core.route.Route;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.schema.EndpointRecord;

/** Finds endpoints for one forwarded request, and pays for retries. */
final class EndpointSelection {
  private static final long NO_ENDPOINT_RETRY_AFTER_MS = 500;

  /**
   * An endpoint that may serve the request.
   *
   * @param query query that it matches
   */
  record Candidate(EndpointRecord endpoint, EndpointQuery query) {}

  private final ForwardPorts ports;
  private final RouterRequest request;
  private final ForwardedRequest forwarded;
  private final Route route;
  private final String service;
  private final Homes homes;

  private EndpointSelection(
      ForwardPorts ports,
      RouterRequest request,
      ForwardedRequest forwarded,
      Route route,
      String service,
      Homes homes) {
    this.ports = ports;
    this.request = request;
    this.forwarded = forwarded;
    this.route = route;
    this.service = service;
    this.homes = homes;
  }

  static EndpointSelection create(ForwardPorts ports, ResolvedRequest resolved) {
    return new EndpointSelection(
        ports,
        resolved.request(),
        resolved.forwarded(),
        resolved.route(),
        resolved.service(),
        resolved.homes());
  }

  /** Returns the refusal of the request if no endpoint at all may or can serve it. */
  Optional<RefusalException> refusalOfLack() {
    return switch (ports.chooser().lack(service, homes)) {
      case NONE -> Optional.empty();
      case REGION ->
          Optional.of(
              notServed(
                  ResultCode.NO_ALLOWED_REGION,
                  "no endpoint of " + service + " in an allowed region is reachable"));
      case EVACUATED ->
          Optional.of(
              notServed(
                  ResultCode.EVACUATED,
                  "the failure domains of all endpoints of " + service + " are evacuated"));
    };
  }

  /**
   * Returns the refusal of a request that did not run, with the time at which an endpoint may get a
   * request again. Callers that were refused together come back spread over half of it or more.
   */
  RefusalException notServed(ResultCode code, String detail) {
    long closedMs = ports.chooser().closedForMs(service);
    long earliestMs = closedMs > 0 ? closedMs : NO_ENDPOINT_RETRY_AFTER_MS;
    long spreadMs = Math.max(NO_ENDPOINT_RETRY_AFTER_MS, earliestMs / 2);
    long jitterMs = Math.floorMod(request.requestId().hashCode(), spreadMs);
    return RefusalException.notRunRetryable(code, earliestMs + jitterMs, detail);
  }

  /** Returns whether a request that was chosen for an endpoint must no longer be sent there. */
  boolean isWithdrawnFrom(EndpointRecord endpoint) {
    return ports.chooser().isEvacuated(endpoint);
  }

  /** Returns an endpoint of a version that the request may use, or empty if none is usable. */
  Optional<Candidate> find(int size, Set<String> excluded) {
    for (String version :
        ports.rollouts().versionsFor(service, request.session(), request.requestId())) {
      EndpointQuery query = query(version, size, excluded);
      Optional<EndpointRecord> endpoint = ports.chooser().choose(query);
      if (endpoint.isPresent()) {
        return Optional.of(new Candidate(endpoint.get(), query));
      }
    }
    return Optional.empty();
  }

  /** Returns the expected time to the first token of a model size, or empty if it is unknown. */
  OptionalDouble expectedFirstTokenMs(String version, int size) {
    return ports.chooser().expectedFirstTokenMs(query(version, size, Set.of()));
  }

  private EndpointQuery query(String version, int size, Set<String> excluded) {
    return EndpointQuery.ofService(
        service, version, modelOf(size), forwarded.prompt(), excluded, homes);
  }

  /** Returns the model with this index, or an empty name if the caller names the model. */
  String modelOf(int size) {
    return route.modelSizes().isEmpty() ? "" : route.modelSizes().get(size);
  }

  /**
   * Spends one retry if the budget allows it, and returns whether it did.
   *
   * @param forSilence whether the current attempt is merely silent
   */
  boolean trySpendRetry(boolean forSilence) {
    return forSilence
        ? ports.retryBudget().trySpendOnSilence(service)
        : ports.retryBudget().trySpend(service);
  }

  /** Returns whether the endpoint has announced its stop or was removed. */
  boolean hasLeft(Attempt a) {
    return a.head().notice().leaving()
        || ports
            .chooser()
            .endpoint(a.endpoint().getId())
            .map(EndpointRecord::getLeaving)
            .orElse(true);
  }
}
