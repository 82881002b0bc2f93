package org.currantslip.core.mirror;

/**
 * Timing settings of a mirror.
 *
 * @param watchMs time for which one watch call waits for a change
 * @param initialRetryMs delay after a first failed call; doubles with each further failure
 * @param maxRetryMs maximum delay after a failed call
 * @param settleMs delay after a change, so that one call delivers a burst of changes
 */
public record MirrorOptions(long watchMs, long initialRetryMs, long maxRetryMs, long settleMs) {
  /** Limits how long changes omitted by a watch go unnoticed; each renewal costs two calls. */
  private static final long WATCH_MS = 12_000;

  private static final long INITIAL_RETRY_MS = 50;

  /** Limits how long the recovery of the store goes unnoticed. */
  private static final long MAX_RETRY_MS = 400;

  /** Small compared with the seconds within which a change must be in force. */
  private static final long SETTLE_MS = 200;

  /** Returns the timing used in production. */
  public static MirrorOptions defaults() {
    return new MirrorOptions(WATCH_MS, INITIAL_RETRY_MS, MAX_RETRY_MS, SETTLE_MS);
  }
}
