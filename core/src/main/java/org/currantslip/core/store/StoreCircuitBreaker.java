package org.currantslip.core.store;

import org.currantslip.core.common.Clock;

/**
 * Circuit breaker for store calls: opened by consecutive failures, closed by a successful probe.
 */
public final class StoreCircuitBreaker {
  private static final int FAILURE_THRESHOLD = 3;
  private static final long PROBE_INTERVAL_MS = 500;
  private static final long RETRY_AFTER_MS = 1_000;

  private final Clock clock;
  private int consecutiveFailures;
  private long nextProbeMs;

  private StoreCircuitBreaker(Clock clock) {
    this.clock = clock;
  }

  /** Returns a closed breaker. */
  public static StoreCircuitBreaker create(Clock clock) {
    return new StoreCircuitBreaker(clock);
  }

  /** Returns whether calls other than probes are rejected. */
  public boolean isOpen() {
    return consecutiveFailures >= FAILURE_THRESHOLD;
  }

  /** Returns whether a probe is due; if so, it is counted as sent. */
  public boolean tryAcquireProbe() {
    if (!isOpen() || clock.nowMs() < nextProbeMs) {
      return false;
    }
    nextProbeMs = clock.nowMs() + PROBE_INTERVAL_MS;
    return true;
  }

  /** Returns the delay after which a rejected caller should retry. */
  public long retryAfterMs() {
    return RETRY_AFTER_MS;
  }

  /** Records a call that was answered in time. */
  public void succeeded() {
    consecutiveFailures = 0;
  }

  /** Records a call that failed or was slow. */
  public void failed() {
    consecutiveFailures++;
    nextProbeMs = clock.nowMs() + PROBE_INTERVAL_MS;
  }

  /** Opens the breaker immediately. */
  public void trip() {
    consecutiveFailures = Math.max(consecutiveFailures, FAILURE_THRESHOLD);
    nextProbeMs = clock.nowMs() + PROBE_INTERVAL_MS;
  }
}
