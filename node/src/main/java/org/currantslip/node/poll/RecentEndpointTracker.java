package org.currantslip.node.poll;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.common.Clock;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointClient;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.schema.EndpointRecord;

/** Tracks which endpoints this node has called recently. */
public final class RecentEndpointTracker implements EndpointClient {
  private static final long RECENT_USE_MS = 10_000;
  private static final int MAX_ENDPOINTS = 64;

  private final EndpointClient delegate;
  private final Clock clock;
  private final LinkedHashMap<String, Long> lastUsedMs = new LinkedHashMap<>();

  private RecentEndpointTracker(EndpointClient delegate, Clock clock) {
    this.delegate = delegate;
    this.clock = clock;
  }

  /** Creates a decorator that records the endpoint of each call. */
  public static RecentEndpointTracker create(EndpointClient delegate, Clock clock) {
    return new RecentEndpointTracker(delegate, clock);
  }

  @Override
  public EndpointCall start(
      EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    lastUsedMs.remove(endpoint.getId());
    lastUsedMs.put(endpoint.getId(), clock.nowMs());
    if (lastUsedMs.size() > MAX_ENDPOINTS) {
      lastUsedMs.remove(lastUsedMs.keySet().iterator().next());
    }
    return delegate.start(endpoint, request, listener);
  }

  /** Returns the ids of the endpoints called recently. */
  List<String> recentlyUsed() {
    long sinceMs = clock.nowMs() - RECENT_USE_MS;
    return lastUsedMs.entrySet().stream()
        .filter(e -> e.getValue() >= sinceMs)
        .map(Map.Entry::getKey)
        .toList();
  }
}
