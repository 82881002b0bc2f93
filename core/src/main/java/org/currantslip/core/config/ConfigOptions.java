package org.currantslip.core.config;

/**
 * Sizes and times of configuration spread.
 *
 * @param freshMs longest time without confirmation of the newest version before new work is refused
 * @param watchersPerDomain nodes of one failure domain that watch the store
 * @param watchWaitMs longest wait of one watch
 * @param probeIntervalMs time between two probes of a peer
 * @param pullTimeoutMs longest wait for a configuration asked of a peer
 * @param pullHedgeMs wait before a second peer is asked as well
 * @param storeTimeoutMs longest wait for one call to the store
 * @param applyStoreMs longest time for storing a change
 * @param applyWaitMs longest wait for a change to be in force everywhere
 * @param seed seed of nonces and of the order of probes
 */
public record ConfigOptions(
    long freshMs,
    int watchersPerDomain,
    long watchWaitMs,
    long probeIntervalMs,
    long pullTimeoutMs,
    long pullHedgeMs,
    long storeTimeoutMs,
    long applyStoreMs,
    long applyWaitMs,
    long seed) {
  private static final int WATCHERS_PER_DOMAIN = 2;
  private static final long MAX_WATCH_WAIT_MS = 5_000;
  private static final long PROBE_INTERVAL_MS = 200;
  private static final long PULL_TIMEOUT_MS = 400;
  private static final long PULL_HEDGE_MS = 150;
  private static final long APPLY_STORE_MS = 10_000;
  private static final long APPLY_WAIT_MS = 5_000;

  /** Returns the usual options for a freshness bound and a store timeout. */
  public static ConfigOptions of(long freshMs, long storeTimeoutMs, long seed) {
    return new ConfigOptions(
        freshMs,
        WATCHERS_PER_DOMAIN,
        Math.min(MAX_WATCH_WAIT_MS, Math.max(100, freshMs / 4)),
        PROBE_INTERVAL_MS,
        PULL_TIMEOUT_MS,
        PULL_HEDGE_MS,
        storeTimeoutMs,
        APPLY_STORE_MS,
        APPLY_WAIT_MS,
        seed);
  }
}
