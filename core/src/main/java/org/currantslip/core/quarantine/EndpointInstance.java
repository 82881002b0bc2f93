package org.currantslip.core.quarantine;

import org.currantslip.schema.EndpointRecord;

/**
 * One start of an endpoint.
 *
 * @param id identifies the endpoint
 * @param startedMs start of its process, in milliseconds since the epoch; zero when unknown
 */
public record EndpointInstance(String id, long startedMs) {
  /** Returns the instance that a record describes. */
  public static EndpointInstance of(EndpointRecord endpoint) {
    return new EndpointInstance(endpoint.getId(), endpoint.getStartedMs());
  }
}
