package org.currantslip.core.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import org.currantslip.core.port.StoredObject;

/**
 * Tracks for how long the join records of suspected nodes have stayed unchanged.
 *
 * <p>A node that suspects others rewrites its own record, so nodes that lose contact with each
 * other but still reach the store are not marked as gone.
 */
final class UnchangedRecordTracker {
  private static final int MAX_RECORDS = 4_096;

  private record Observation(long version, long firstSeenMs, long lastSeenMs) {}

  private final long requiredMs;
  private final Map<String, Observation> observations = new LinkedHashMap<>();

  private UnchangedRecordTracker(long requiredMs) {
    this.requiredMs = requiredMs;
  }

  static UnchangedRecordTracker of(long requiredMs) {
    return new UnchangedRecordTracker(requiredMs);
  }

  /** Records an observation; returns whether the record has been unchanged for long enough. */
  boolean observe(StoredObject joinRecord, long nowMs) {
    Observation last = observations.get(joinRecord.name());
    // A gap between observations means that this node itself was paused, so the period restarts.
    boolean unchanged =
        last != null
            && last.version() == joinRecord.version()
            && nowMs - last.lastSeenMs() < requiredMs;
    if (observations.size() >= MAX_RECORDS) {
      observations.remove(observations.keySet().iterator().next());
    }
    long firstSeenMs = unchanged && last != null ? last.firstSeenMs() : nowMs;
    observations.put(joinRecord.name(), new Observation(joinRecord.version(), firstSeenMs, nowMs));
    return nowMs - firstSeenMs >= requiredMs;
  }

  /** Removes all observations, because the store may assign their versions a second time. */
  void clear() {
    observations.clear();
  }

  /** Removes the observation of a record whose node is live again. */
  void remove(String name) {
    observations.remove(name);
  }
}
