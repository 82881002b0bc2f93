package org.currantslip.core.limits;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.currantslip.core.common.Clock;

/**
 * Limits how many requests of a service are sent to a second endpoint, summed over all nodes.
 *
 * <p>Nodes do not exchange their counts. Each node may spend its part of the slack plus the ratio
 * applied to its own requests, reduced by a safety factor for nodes that see fewer peers than there
 * are.
 */
public final class RetryBudget {
  /** Fraction of the bound that is used; the rest covers requests counted in a different window. */
  private static final double SAFETY_FACTOR = 0.7;

  /** Share of the retries that may replace calls which may still succeed. */
  private static final double SILENCE_SHARE = 0.5;

  private static final int WINDOW_BUCKETS = 10;

  /**
   * Upper bound on retries, summed over all nodes.
   *
   * @param ratio retries allowed per request
   * @param slack retries allowed in addition to the ratio
   * @param windowMs time window in which requests and retries are counted
   */
  public record Bound(double ratio, double slack, long windowMs) {}

  private final Clock clock;
  private final Bound bound;
  private final IntSupplier liveNodes;
  private final Map<String, Window> windows = new HashMap<>();
  private int maxLiveNodes = 1;

  private RetryBudget(Clock clock, Bound bound, IntSupplier liveNodes) {
    this.clock = clock;
    this.bound = bound;
    this.liveNodes = liveNodes;
  }

  /** Creates an unused budget. */
  public static RetryBudget create(Clock clock, Bound bound, IntSupplier liveNodes) {
    return new RetryBudget(clock, bound, liveNodes);
  }

  /** Records a request for a service. */
  public void recordRequest(String service) {
    window(service).add(1, 0);
  }

  /** Spends one retry if the budget allows it, and returns whether it did. */
  public boolean trySpend(String service) {
    return trySpendShare(service, 1);
  }

  /**
   * Spends one retry for a call that is silent but not broken, and returns whether it did. The
   * calls of an endpoint that pauses fall silent all at once, and must leave retries for calls that
   * break.
   */
  public boolean trySpendOnSilence(String service) {
    return trySpendShare(service, SILENCE_SHARE);
  }

  private boolean trySpendShare(String service, double share) {
    // A partitioned node sees fewer peers while the others still spend their parts.
    maxLiveNodes = Math.max(maxLiveNodes, Math.max(1, liveNodes.getAsInt()));
    Window window = window(service);
    double allowed =
        share * SAFETY_FACTOR * (bound.ratio() * window.requests() + bound.slack() / maxLiveNodes);
    if (window.retries() + 1 > allowed) {
      return false;
    }
    window.add(0, 1);
    return true;
  }

  private Window window(String service) {
    Window window = windows.computeIfAbsent(service, s -> new Window());
    window.advanceTo(clock.nowMs() * WINDOW_BUCKETS / Math.max(1, bound.windowMs()));
    return window;
  }

  /** Sliding-window counters, split into buckets. */
  private static final class Window {
    private final long[] requests = new long[WINDOW_BUCKETS];
    private final long[] retries = new long[WINDOW_BUCKETS];
    private long currentBucket;

    private void advanceTo(long nowBucket) {
      long firstBucket = Math.max(currentBucket + 1, nowBucket - WINDOW_BUCKETS + 1);
      for (long bucket = firstBucket; bucket <= nowBucket; bucket++) {
        requests[(int) (bucket % WINDOW_BUCKETS)] = 0;
        retries[(int) (bucket % WINDOW_BUCKETS)] = 0;
      }
      currentBucket = Math.max(currentBucket, nowBucket);
    }

    private void add(long addedRequests, long addedRetries) {
      requests[(int) (currentBucket % WINDOW_BUCKETS)] += addedRequests;
      retries[(int) (currentBucket % WINDOW_BUCKETS)] += addedRetries;
    }

    private long requests() {
      return Arrays.stream(requests).sum();
    }

    private long retries() {
      return Arrays.stream(retries).sum();
    }
  }
}
