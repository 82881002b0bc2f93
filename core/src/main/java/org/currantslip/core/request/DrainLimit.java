package org.currantslip.core.request;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import org.currantslip.core.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests a stopping node can still complete, by the longest recent responses of
 * their routes. Confined to the decision thread.
 */
final class DrainLimit {
  private static final int MAX_ROUTES = 4_096;

  /** Weight of a response that is shorter than the ones before it. */
  private static final double DECAY = 1.0 / 16;

  private final Cache<String, Double> responseMsByRoute =
      CacheBuilder.newBuilder().maximumSize(MAX_ROUTES).concurrencyLevel(1).build();
  private long endMs = Long.MAX_VALUE;

  private DrainLimit() {}

  /** Returns the limit of a node that is not stopping. */
  static DrainLimit none() {
    return new DrainLimit();
  }

  /** Sets the time at which the node ends the requests that are not complete. */
  void setEndMs(long ms) {
    endMs = ms;
  }

  /** Records a complete response. */
  void onResponse(Route route, long responseMs) {
    double longestMs = recentMs(route.name(), responseMs);
    responseMsByRoute.put(
        route.name(), Math.max(responseMs, longestMs + DECAY * (responseMs - longestMs)));
  }

  private double recentMs(String route, double fallbackMs) {
    @Nullable Double recentMs = responseMsByRoute.getIfPresent(route);
    return recentMs == null ? fallbackMs : recentMs;
  }

  /** Returns whether a request that is sent now is expected to be complete in time. */
  boolean admits(Route route, long nowMs) {
    return endMs == Long.MAX_VALUE || nowMs + recentMs(route.name(), route.objectiveMs()) <= endMs;
  }
}
