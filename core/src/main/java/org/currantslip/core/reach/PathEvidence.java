package org.currantslip.core.reach;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.currantslip.schema.EndpointRecord;

/** Endpoints that could not be reached, each until it is refuted that the path is lost. */
final class PathEvidence {
  /** How an endpoint could not be reached, which decides what refutes a lost path. */
  enum Kind {
    /** No connection. Calls that began earlier may live on while new ones are refused. */
    CONNECT,
    /** An open call broke. The other connections of a lost path break at the same time. */
    BROKEN,
    /** A call is silent. */
    SILENT
  }

  /** Time within which the connections of a lost path break. */
  private static final long MERGE_MS = 60;

  /** Endpoints that must fail, as fewer may well be down at the same time. */
  private static final int MIN_ENDPOINTS = 3;

  private static final int MIN_DOMAINS = 2;

  /** Evidence without later calls says nothing of the present. */
  private static final long MAX_AGE_MS = 3_000;

  private record Entry(EndpointRecord endpoint, Kind kind, long callStartedMs, long atMs) {
    boolean isRefutedBy(String heardEndpoint, long heardCallStartedMs, long nowMs) {
      return switch (kind) {
        case CONNECT -> heardCallStartedMs >= callStartedMs;
        case BROKEN -> !heardEndpoint.equals(endpoint.getId()) && nowMs > atMs + MERGE_MS;
        case SILENT -> true;
      };
    }
  }

  private final Map<String, Entry> entries = new HashMap<>();

  private PathEvidence() {}

  static PathEvidence create() {
    return new PathEvidence();
  }

  void add(EndpointRecord endpoint, Kind kind, long callStartedMs, long atMs) {
    entries.putIfAbsent(endpoint.getId(), new Entry(endpoint, kind, callStartedMs, atMs));
  }

  /** Removes what data of a call refutes. */
  void onHeard(String endpointId, long callStartedMs, long nowMs) {
    entries.values().removeIf(e -> e.isRefutedBy(endpointId, callStartedMs, nowMs));
  }

  void expire(long nowMs) {
    entries.values().removeIf(e -> nowMs - e.atMs() > MAX_AGE_MS);
  }

  void clear() {
    entries.clear();
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  /** Returns the start of the first call in the evidence. */
  long sinceMs() {
    return entries.values().stream().mapToLong(Entry::callStartedMs).min().orElse(Long.MAX_VALUE);
  }

  /** Returns the time of the first piece of evidence. */
  long firstMs() {
    return entries.values().stream().mapToLong(Entry::atMs).min().orElse(Long.MAX_VALUE);
  }

  Set<String> services() {
    return entries.values().stream()
        .map(e -> e.endpoint().getService())
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns whether it covers enough endpoints and failure domains of those that there are. */
  boolean isComplete(int endpointCount, int domainCount) {
    long domains =
        entries.values().stream().map(e -> e.endpoint().getFailureDomain()).distinct().count();
    return !entries.isEmpty()
        && entries.size() >= Math.min(MIN_ENDPOINTS, endpointCount)
        && domains >= Math.min(MIN_DOMAINS, domainCount);
  }
}
