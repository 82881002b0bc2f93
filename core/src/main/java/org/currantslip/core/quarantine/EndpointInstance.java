package org.currantslip.core.quarantine;

import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

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

  // Written out: the generated methods run through method handles, which the JVM's first compiler,
  // the only one that nodes use, does not inline, and which each process links again.
  @Override
  public boolean equals(@Nullable Object obj) {
    return obj instanceof EndpointInstance other
        && id.equals(other.id)
        && startedMs == other.startedMs;
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(startedMs);
  }
}
