package org.currantslip.core.store;

import org.currantslip.core.common.Clock;

/** A circuit breaker over store calls: open after failures in a row, closed by a probe. */
public final class StoreBreaker {
  private static final int OPEN_AFTER_FAILURES = 3;
  private static final long PROBE_EVERY_MS = 500;
  private static final long RETRY_AFTER_MS = 1_000;

  private final Clock clock;
  private int failuresInRow;
  private long nextProbeMs;

  private StoreBreaker(Clock clock) {
    this.clock = clock;
  }

  /** Returns a closed breaker. */
  public static StoreBreaker create(Clock clock) {
    return new StoreBreaker(clock);
  }

  /** Returns whether calls other than probes are held back. */
  public boolean isOpen() {
    return failuresInRow >= OPEN_AFTER_FAILURES;
  }

  /** Returns whether a probe is due, and counts it as sent. */
  public boolean takeProbe() {
    if (!isOpen() || clock.nowMs() < nextProbeMs) {
      return false;
    }
    nextProbeMs = clock.nowMs() + PROBE_EVERY_MS;
    return true;
  }

  /** Returns after how long a refused caller should come back. */
  public long retryAfterMs() {
    return RETRY_AFTER_MS;
  }

  /** Counts a call that was answered in time. */
  public void succeeded() {
    failuresInRow = 0;
  }

  /** Counts a call that failed or was slow. */
  public void failed() {
    failuresInRow++;
    nextProbeMs = clock.nowMs() + PROBE_EVERY_MS;
  }

  /** Opens the breaker at once. */
  public void trip() {
    failuresInRow = Math.max(failuresInRow, OPEN_AFTER_FAILURES);
    nextProbeMs = clock.nowMs() + PROBE_EVERY_MS;
  }
}
