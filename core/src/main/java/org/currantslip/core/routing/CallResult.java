package org.currantslip.core.routing;

/**
 * Outcome of a call to an endpoint.
 *
 * @param ok whether a complete response was received
 * @param timedOut whether the endpoint sent nothing before a timeout
 * @param firstByteMs time to the first byte, or -1 if none was received
 * @param totalMs time to the end of the call
 * @param declined whether the endpoint reported that it did not run the request
 */
public record CallResult(
    boolean ok, boolean timedOut, long firstByteMs, long totalMs, boolean declined) {
  /** Creates the result of a call that the endpoint did not decline. */
  public CallResult(boolean ok, boolean timedOut, long firstByteMs, long totalMs) {
    this(ok, timedOut, firstByteMs, totalMs, false);
  }
}
