package org.currantslip.core.route;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Requests of one host below one path.
 *
 * @param name name given by the operator
 * @param host host that callers name
 * @param pathPrefix begin of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param services services among which requests are split; never empty
 * @param attempts most endpoints on which one request may run
 * @param timeoutMs longest time a caller is kept waiting
 * @param objectiveMs time within which an answer, or the first event of a stream, is on time
 * @param eventGapMs longest pause between events of a stream that is on time
 * @param priority rank, zero first
 * @param anonymous whether requests need no key
 * @param resumable whether a stream may go on at another endpoint after its last event
 * @param modelSizes models that may answer, smallest first; empty when the caller names the model
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
    List<String> modelSizes) {

  private static final long BUCKETS = 1 << 20;

  /** Returns whether a request may run again after it may have run. */
  public boolean isRepeatable() {
    return kind == RouteKind.SAFE || (kind == RouteKind.STREAMING && resumable);
  }

  /** Returns the service of a request; equal keys get equal services. */
  public String serviceFor(String key) {
    if (services.size() == 1) {
      return services.get(0).service();
    }
    double total = services.stream().mapToDouble(WeightedService::weight).sum();
    long hash = Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
    double point = total * Math.floorMod(hash, BUCKETS) / BUCKETS;
    for (WeightedService s : services) {
      point -= s.weight();
      if (point < 0) {
        return s.service();
      }
    }
    return services.get(services.size() - 1).service();
  }
}
