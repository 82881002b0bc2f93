package org.currantslip.adapter.endpoint;

/**
 * How long an endpoint may be silent.
 *
 * @param firstByteMs time from the start of the call to the answer's head
 * @param betweenChunksMs time between two parts of the answer
 */
public record EndpointTimeouts(long firstByteMs, long betweenChunksMs) {}
