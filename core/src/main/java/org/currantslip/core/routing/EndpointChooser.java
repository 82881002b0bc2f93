package org.currantslip.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.route.Homes;
import org.currantslip.schema.EndpointRecord;

/** Selects the endpoint that serves a request. */
public interface EndpointChooser {
  /** Replaces the set of known endpoints. */
  void onEndpoints(List<EndpointRecord> endpoints);

  /** Records a load report. */
  void onLoad(EndpointLoad load);

  /** Returns the endpoint with the shortest expected wait, or empty if none is usable. */
  Optional<EndpointRecord> choose(EndpointQuery query);

  /** Returns the expected time to the first token, or empty if there is no estimate. */
  default OptionalDouble expectedFirstTokenMs(EndpointQuery query) {
    return OptionalDouble.empty();
  }

  /** Records a dispatched request, which the last load report does not include yet. */
  void onDispatched(String endpointId, long expectedTokens);

  /** Records the end of a dispatched request. */
  void onFinished(String endpointId, CallResult result);

  /** Returns a tracker that accounts for one request at the selected endpoint. */
  default RequestTracker track(String endpointId, EndpointQuery query) {
    return new RequestTracker() {
      @Override
      public void onStarted(long expectedTokens) {
        onDispatched(endpointId, expectedTokens);
      }

      @Override
      public void onFirstByte(long firstByteMs) {}

      @Override
      public void onFinished(CallResult result) {
        EndpointChooser.this.onFinished(endpointId, result);
      }
    };
  }

  /** Returns whether recent connection attempts to an endpoint failed, so that it may be down. */
  default boolean isUnreachable(String endpointId) {
    return false;
  }

  /**
   * Applies what an endpoint said of itself in a response.
   *
   * @param sentMs time at which the request was sent; a response to a later one goes before it
   */
  default EndpointNotice.Effect onNotice(
      EndpointRecord endpoint, EndpointNotice notice, long sentMs) {
    return EndpointNotice.Effect.NONE;
  }

  /** Returns the reason why no endpoint of a service can serve a request in these homes. */
  default EndpointLack lack(String service, Homes homes) {
    return EndpointLack.NONE;
  }

  /** Returns whether no request may be sent to an endpoint any more; may be asked on any thread. */
  default boolean isEvacuated(EndpointRecord endpoint) {
    return false;
  }

  /**
   * Returns for how long no endpoint of a service wants or may get a request of this node; zero if
   * one may get one now, or if that is unknown.
   */
  default long closedForMs(String service) {
    return 0;
  }

  /** Returns all known endpoints. */
  List<EndpointRecord> endpoints();

  /** Returns the endpoint with this id, if it is known. */
  default Optional<EndpointRecord> endpoint(String endpointId) {
    return endpoints().stream().filter(e -> e.getId().equals(endpointId)).findFirst();
  }

  /** Returns the last load report of an endpoint. */
  Optional<EndpointLoad> load(String endpointId);
}
