package org.currantslip.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.currantslip.schema.EndpointRecord;

/** Chooses the endpoint for a request. */
public interface EndpointChooser {
  /** Replaces the set of known endpoints. */
  void onEndpoints(List<EndpointRecord> endpoints);

  /** Takes a load report. */
  void onLoad(EndpointLoad load);

  /** Returns the endpoint with the shortest expected wait; empty when none is usable. */
  Optional<EndpointRecord> choose(RouteQuery query);

  /** Returns the expected time to the first token; empty when nothing is known. */
  default OptionalDouble expectedMs(RouteQuery query) {
    return OptionalDouble.empty();
  }

  /** Counts a dispatch, so that requests sent since the last load report are seen. */
  void dispatched(String endpointId, long expectedTokens);

  /** Counts the end of a dispatch. */
  void finished(String endpointId, CallResult result);

  /** Returns the count of one request at an endpoint that was chosen for it. */
  default EndpointUse use(String endpointId, RouteQuery query) {
    return new EndpointUse() {
      @Override
      public void started(long expectedTokens) {
        dispatched(endpointId, expectedTokens);
      }

      @Override
      public void answering(long firstByteMs) {}

      @Override
      public void finished(CallResult result) {
        EndpointChooser.this.finished(endpointId, result);
      }
    };
  }

  /** Returns whether connections to an endpoint failed lately, so that it may be down. */
  default boolean isUnreachable(String endpointId) {
    return false;
  }

  /** Returns all known endpoints. */
  List<EndpointRecord> endpoints();

  /** Returns the last load report of an endpoint. */
  Optional<EndpointLoad> load(String endpointId);
}
