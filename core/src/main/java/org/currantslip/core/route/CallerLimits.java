package org.currantslip.core.route;

/**
 * What callers may send, and how long they may take.
 *
 * @param headerBytes longest header block
 * @param bodyBytes longest body
 * @param headerTimeoutMs longest time for a whole header
 * @param idleTimeoutMs time without a byte after which a connection is closed
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
  private static final CallerLimits DEFAULTS = new CallerLimits(16 << 10, 4 << 20, 10_000, 60_000);

  /** Returns the limits before any configuration is known. */
  public static CallerLimits defaults() {
    return DEFAULTS;
  }
}
