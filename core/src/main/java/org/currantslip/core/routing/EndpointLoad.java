package org.currantslip.core.routing;

/**
 * A load report of an endpoint.
 *
 * @param endpointId id of the endpoint
 * @param running number of requests being processed
 * @param waiting number of queued requests
 * @param tokensPerS tokens generated per second over the last reporting interval
 * @param reportedMs time at which the report was created
 */
public record EndpointLoad(
    String endpointId, int running, int waiting, double tokensPerS, long reportedMs) {}
