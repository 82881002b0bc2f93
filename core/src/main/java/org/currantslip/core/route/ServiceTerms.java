package org.currantslip.core.route;

import org.jspecify.annotations.Nullable;

/**
 * What the operators' configuration says of a service.
 *
 * @param name service name
 * @param healthPath path of the health probe of its endpoints, or empty
 * @param maxConnections connections that one endpoint accepts from all callers, or zero if unknown
 * @param coldMs time for which an endpoint is cold after its start
 * @param coldPerS requests a second that a cold endpoint bears, or zero if it needs no protection
 * @param engine size of its engines, or null for a plain service
 */
public record ServiceTerms(
    String name,
    String healthPath,
    int maxConnections,
    long coldMs,
    double coldPerS,
    @Nullable EngineTerms engine) {
  /** Returns the terms of a service about which the configuration says nothing. */
  public static ServiceTerms unknown(String name) {
    return new ServiceTerms(name, "", 0, 0, 0, null);
  }
}
