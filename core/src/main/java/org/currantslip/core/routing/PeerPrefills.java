package org.currantslip.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.currantslip.schema.PendingPrefill;
import org.currantslip.schema.PrefillReport;

/** Prefill that other nodes have pending at endpoints, according to their last reports. */
final class PeerPrefills {
  /** Exceeds several report intervals; most prompts are prefilled sooner. */
  private static final long MAX_AGE_MS = 1_000;

  private record Pending(long prefillMs, long reportedMs) {}

  private final Map<String, Map<String, Pending>> pendingByEndpoint = new HashMap<>();

  private PeerPrefills() {}

  static PeerPrefills create() {
    return new PeerPrefills();
  }

  /** Replaces the pending prompts of a node. */
  void onReport(String node, PrefillReport report, long nowMs) {
    pendingByEndpoint.values().forEach(m -> m.remove(node));
    for (PendingPrefill p : report.getPendingList()) {
      pendingByEndpoint
          .computeIfAbsent(p.getEndpoint(), e -> new HashMap<>())
          .put(node, new Pending(p.getPrefillMs(), nowMs));
    }
  }

  /** Removes the endpoints that no longer exist. */
  void retain(Set<String> endpoints) {
    pendingByEndpoint.keySet().retainAll(endpoints);
  }

  /** Returns the prefill time that other nodes have pending at an endpoint. */
  double prefillMs(String endpoint, long nowMs) {
    return pendingByEndpoint.getOrDefault(endpoint, Map.of()).values().stream()
        .filter(p -> nowMs - p.reportedMs() < MAX_AGE_MS)
        .mapToDouble(Pending::prefillMs)
        .sum();
  }
}
