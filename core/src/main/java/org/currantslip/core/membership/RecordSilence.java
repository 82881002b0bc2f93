package org.currantslip.core.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import org.currantslip.core.port.StoredObject;

/**
 * Tells for how long the join records of missing nodes have stayed the same.
 *
 * <p>A node that misses others rewrites its record, so nodes that lost each other but not the store
 * do not take each other for dead.
 */
final class RecordSilence {
  private static final int MAX_RECORDS = 4_096;

  private record Sighting(long version, long sinceMs, long lastMs) {}

  private final long provedAfterMs;
  private final Map<String, Sighting> sightings = new LinkedHashMap<>();

  private RecordSilence(long provedAfterMs) {
    this.provedAfterMs = provedAfterMs;
  }

  static RecordSilence of(long provedAfterMs) {
    return new RecordSilence(provedAfterMs);
  }

  /** Notes a record; returns whether it has stayed the same for long enough. */
  boolean isProved(StoredObject found, long nowMs) {
    Sighting last = sightings.get(found.name());
    // A gap in the sightings means that this node was paused itself: it begins anew.
    boolean same =
        last != null && last.version() == found.version() && nowMs - last.lastMs() < provedAfterMs;
    if (sightings.size() >= MAX_RECORDS) {
      sightings.remove(sightings.keySet().iterator().next());
    }
    long sinceMs = same && last != null ? last.sinceMs() : nowMs;
    sightings.put(found.name(), new Sighting(found.version(), sinceMs, nowMs));
    return nowMs - sinceMs >= provedAfterMs;
  }

  /** Forgets a node that is missing no more. */
  void forget(String name) {
    sightings.remove(name);
  }
}
