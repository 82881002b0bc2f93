package org.currantslip.core.route;

/**
 * One of the services among which a route's requests are split.
 *
 * @param service name of the service
 * @param weight its part, relative to the other weights
 */
public record WeightedService(String service, double weight) {}
