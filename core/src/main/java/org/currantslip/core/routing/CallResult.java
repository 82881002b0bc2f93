package org.currantslip.core.routing;

/**
 * How a call to an endpoint ended.
 *
 * @param ok whether a whole answer came back
 * @param silent whether the endpoint stayed silent past a deadline
 * @param firstByteMs time to the first byte, or -1 when none came
 * @param totalMs time to the end
 */
public record CallResult(boolean ok, boolean silent, long firstByteMs, long totalMs) {}
