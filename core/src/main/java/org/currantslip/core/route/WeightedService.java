package org.currantslip.core.route;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service service name
 * @param weight share of the requests, relative to the other weights
 */
public record WeightedService(String service, double weight) {}
