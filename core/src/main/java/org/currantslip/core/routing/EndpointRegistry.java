package org.currantslip.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.EndpointRecord;

/**
 * Endpoints that may receive requests, built from the entries that they write to the store.
 *
 * <p>An endpoint whose entry is removed is dropped immediately. Entries that expired during a store
 * outage are kept for a grace period instead, because running endpoints register again shortly
 * after the store recovers.
 */
public final class EndpointRegistry {
  /** Running endpoints register again within this time after the store has recovered. */
  private static final long REREGISTRATION_MS = 1_800;

  private final Clock clock;
  private final long minOutageMs;
  private final Consumer<List<EndpointRecord>> listener;
  private final Map<String, EndpointRecord> entries = new TreeMap<>();
  private final Map<String, EndpointRecord> expired = new HashMap<>();
  private long graceUntilMs;

  private EndpointRegistry(Clock clock, long minOutageMs, Consumer<List<EndpointRecord>> listener) {
    this.clock = clock;
    this.minOutageMs = minOutageMs;
    this.listener = listener;
  }

  /**
   * Creates an empty registry.
   *
   * @param minOutageMs shortest store outage during which entries can expire
   * @param listener receives the full endpoint list after each change
   */
  public static EndpointRegistry create(
      Clock clock, long minOutageMs, Consumer<List<EndpointRecord>> listener) {
    return new EndpointRegistry(clock, minOutageMs, listener);
  }

  /** Starts the grace period if the store outage was long enough for entries to expire. */
  public void onStoreRegained(long outageMs) {
    if (outageMs >= minOutageMs) {
      graceUntilMs = clock.nowMs() + REREGISTRATION_MS;
    }
  }

  /** Replaces the known entries with the current content of the store. */
  public void onEntries(List<EndpointRecord> current) {
    Map<String, EndpointRecord> currentById = new TreeMap<>();
    current.forEach(e -> currentById.put(e.getId(), e));
    expired.keySet().removeAll(currentById.keySet());
    if (clock.nowMs() < graceUntilMs) {
      entries.forEach(
          (id, e) -> {
            if (!currentById.containsKey(id)) {
              expired.put(id, e);
            }
          });
    }
    entries.clear();
    entries.putAll(currentById);
    publish();
  }

  /** Drops expired entries that were not registered again within the grace period. */
  public void tick() {
    if (!expired.isEmpty() && clock.nowMs() >= graceUntilMs) {
      expired.clear();
      publish();
    }
  }

  private void publish() {
    Map<String, EndpointRecord> all = new TreeMap<>(expired);
    all.putAll(entries);
    listener.accept(List.copyOf(all.values()));
  }
}
