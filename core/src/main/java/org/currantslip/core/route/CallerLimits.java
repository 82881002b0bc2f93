package org.currantslip.core.route;

/**
 * Limits on the size and duration of caller requests.
 *
 * @param headerBytes maximum size of the header block
 * @param bodyBytes maximum body size
 * @param headerTimeoutMs maximum time to receive the complete header
 * @param idleTimeoutMs time without traffic after which a connection is closed
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
  private static final CallerLimits DEFAULTS = new CallerLimits(16 << 10, 4 << 20, 10_000, 60_000);

  /** Returns the limits that apply until a configuration is known. */
  public static CallerLimits defaults() {
    return DEFAULTS;
  }
}
