package org.currantslip.core.routing;

/**
 * How a call to an endpoint ended.
 *
 * @param ok whether a whole answer came back
 * @param silent whether the endpoint stayed silent past a deadline
 * @param firstByteMs time to the first byte, or -1 when none came
 * @param totalMs time to the end
 * @param declined whether the endpoint said that it did not run the request
 */
public record CallResult(
    boolean ok, boolean silent, long firstByteMs, long totalMs, boolean declined) {
  /** Returns the result of a call that the endpoint did not decline. */
  public CallResult(boolean ok, boolean silent, long firstByteMs, long totalMs) {
    this(ok, silent, firstByteMs, totalMs, false);
  }
}
