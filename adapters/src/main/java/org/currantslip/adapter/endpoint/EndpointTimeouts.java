package org.currantslip.adapter.endpoint;

/**
 * Timeouts for the response of an endpoint.
 *
 * @param firstByteMs time from the start of the call to the response head
 * @param betweenChunksMs time between two chunks of the response
 */
public record EndpointTimeouts(long firstByteMs, long betweenChunksMs) {}
