package org.currantslip.core.config;

/**
 * Limits and timing of configuration distribution.
 *
 * @param freshMs maximum age of the last confirmation of the newest version; new work is refused
 *     beyond it
 * @param watchersPerDomain number of nodes per failure domain that watch the store
 * @param watchWaitMs maximum wait of one watch
 * @param probeIntervalMs interval between probes; each probe goes to one peer
 * @param pullTimeoutMs timeout for a configuration requested from a peer
 * @param pullHedgeMs delay before a second peer is asked in parallel
 * @param storeTimeoutMs timeout of one store call
 * @param applyStoreMs maximum time for storing a change, including retries
 * @param applyWaitMs default maximum wait for a change to be in force on every node
 * @param seed seed for nonces and for the first peer to probe
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

  /** Returns the default options for a freshness bound and a store timeout. */
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
