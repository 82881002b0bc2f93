package org.currantslip.core.route;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A route for requests to one host below one path prefix.
 *
 * @param name name given by the operator
 * @param host host name that callers use
 * @param pathPrefix path prefix, with a slash at both ends
 * @param kind which requests may be repeated
 * @param services services among which requests are split; never empty
 * @param attempts maximum number of endpoints on which one request may run
 * @param timeoutMs maximum time a caller waits
 * @param objectiveMs latency objective for a response, or for the first event of a stream
 * @param eventGapMs maximum gap between the events of a stream that meets its objective
 * @param priority priority rank; zero is the most urgent
 * @param anonymous whether requests need no API key
 * @param resumable whether a stream may resume at another endpoint after its last event
 * @param modelSizes models that may answer, smallest first; empty when the caller names the model
 * @param homes regions in which requests may be served; empty for all
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    List<WeightedService> services,
    int attempts,
    long timeoutMs,
    long objectiveMs,
    long eventGapMs,
    int priority,
    boolean anonymous,
    boolean resumable,
    List<String> modelSizes,
    ImmutableSet<String> homes) {

  private static final long HASH_BUCKETS = 1 << 20;

  /** Creates a route whose requests may be served in all regions. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      RouteKind kind,
      List<WeightedService> services,
      int attempts,
      long timeoutMs,
      long objectiveMs,
      long eventGapMs,
      int priority,
      boolean anonymous,
      boolean resumable,
      List<String> modelSizes) {
    this(
        name,
        host,
        pathPrefix,
        kind,
        services,
        attempts,
        timeoutMs,
        objectiveMs,
        eventGapMs,
        priority,
        anonymous,
        resumable,
        modelSizes,
        ImmutableSet.of());
  }

  /** Returns whether a request may run again after it may already have run. */
  public boolean isRepeatable() {
    return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
  }

  /** Returns the service of a request; equal keys map to the same service. */
  public String serviceFor(String key) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    double totalWeight = services.stream().mapToDouble(WeightedService::weight).sum();
    long hash = Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
    double remaining = totalWeight * Math.floorMod(hash, HASH_BUCKETS) / HASH_BUCKETS;
    for (WeightedService candidate : services) {
      remaining -= candidate.weight();
      if (remaining < 0) {
        return candidate.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
