package org.currantslip.core.routing;

/**
 * A load report of an endpoint.
 *
 * @param endpointId the endpoint
 * @param running requests being served
 * @param waiting requests queued
 * @param tokensPerS tokens generated a second over the last interval
 * @param reportedMs time at which the report was made
 */
public record EndpointLoad(
    String endpointId, int running, int waiting, double tokensPerS, long reportedMs) {}
