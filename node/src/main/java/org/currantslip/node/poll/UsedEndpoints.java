package org.currantslip.node.poll;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.common.Clock;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointCalls;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.schema.EndpointRecord;

/** Remembers which endpoints this node has called lately. */
public final class UsedEndpoints implements EndpointCalls {
  private static final long LATELY_MS = 10_000;
  private static final int MAX_ENDPOINTS = 64;

  private final EndpointCalls calls;
  private final Clock clock;
  private final LinkedHashMap<String, Long> lastMs = new LinkedHashMap<>();

  private UsedEndpoints(EndpointCalls calls, Clock clock) {
    this.calls = calls;
    this.clock = clock;
  }

  /** Returns calls that are remembered. */
  public static UsedEndpoints create(EndpointCalls calls, Clock clock) {
    return new UsedEndpoints(calls, clock);
  }

  @Override
  public EndpointCall start(
      EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    lastMs.remove(endpoint.getId());
    lastMs.put(endpoint.getId(), clock.nowMs());
    if (lastMs.size() > MAX_ENDPOINTS) {
      lastMs.remove(lastMs.keySet().iterator().next());
    }
    return calls.start(endpoint, request, listener);
  }

  /** Returns the ids of endpoints called lately. */
  List<String> lately() {
    long sinceMs = clock.nowMs() - LATELY_MS;
    return lastMs.entrySet().stream()
        .filter(e -> e.getValue() >= sinceMs)
        .map(Map.Entry::getKey)
        .toList();
  }
}
