package org.currantslip.core.mirror;

/**
 * Timing of a mirror.
 *
 * @param watchMs how long one watch call waits for a change
 * @param firstRetryMs pause after a first failed call; doubles with each further failure
 * @param lastRetryMs longest pause after a failed call
 * @param settleMs pause after a change, so that changes in quick succession come in one call
 */
public record MirrorOptions(long watchMs, long firstRetryMs, long lastRetryMs, long settleMs) {
  /** Bounds how long changes that a watch left out go unnoticed; each renewal costs two calls. */
  private static final long WATCH_MS = 12_000;

  private static final long FIRST_RETRY_MS = 50;

  /** Bounds how long the return of the store goes unnoticed. */
  private static final long LAST_RETRY_MS = 400;

  /** Small against the seconds within which a change has to be in force. */
  private static final long SETTLE_MS = 100;

  /** Returns the timing used in production. */
  public static MirrorOptions defaults() {
    return new MirrorOptions(WATCH_MS, FIRST_RETRY_MS, LAST_RETRY_MS, SETTLE_MS);
  }
}
