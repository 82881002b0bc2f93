package org.currantslip.core.request;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.currantslip.core.route.Route;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.schema.EndpointRecord;

/** Finds endpoints for one forwarded request, and pays for retries. */
final class EndpointSelection {
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

  private EndpointSelection(
      ForwardPorts ports,
      RouterRequest request,
      ForwardedRequest forwarded,
      Route route,
      String service) {
    this.ports = ports;
    this.request = request;
    this.forwarded = forwarded;
    this.route = route;
    this.service = service;
  }

  static EndpointSelection create(
      ForwardPorts ports,
      RouterRequest request,
      ForwardedRequest forwarded,
      Route route,
      String service) {
    return new EndpointSelection(ports, request, forwarded, route, service);
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
    return EndpointQuery.ofService(service, version, modelOf(size), forwarded.prompt(), excluded);
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
