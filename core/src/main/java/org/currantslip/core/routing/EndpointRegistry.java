package org.currantslip.core.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
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
 *
 * <p>A store that returned from an older copy may show an endpoint as ready that had announced its
 * stop, or one whose entry was removed. Both are believed to be leaving as long as the copy is not
 * rewritten; a restarted process has another start time.
 */
public final class EndpointRegistry {
  /** Running endpoints register again within this time after the store has recovered. */
  private static final long REREGISTRATION_MS = 1_800;

  /** Entries of endpoints that no longer write expire within this time. */
  private static final long RESTORED_ENTRY_MS = 5_000;

  /** Bounds the memory of removed endpoints; several times the size of the largest fleet. */
  private static final int MAX_REMOVED = 8_192;

  private final Clock clock;
  private final long minOutageMs;
  private final Consumer<List<EndpointRecord>> listener;
  private final Map<String, EndpointRecord> entries = new TreeMap<>();
  private final Map<String, EndpointRecord> expired = new HashMap<>();
  private final Map<String, Long> removedStartMs = new LinkedHashMap<>();
  private final Map<String, EndpointRecord> withheld = new HashMap<>();
  private long graceUntilMs;
  private long restoredUntilMs;

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

  /** Starts the grace period because the store returned from an older copy of the entries. */
  public void onStoreRestored() {
    graceUntilMs = clock.nowMs() + REREGISTRATION_MS;
    restoredUntilMs = clock.nowMs() + RESTORED_ENTRY_MS;
  }

  /** Replaces the known entries with the current content of the store. */
  public void onEntries(List<EndpointRecord> current) {
    Map<String, EndpointRecord> currentById = new TreeMap<>();
    withheld.clear();
    current.forEach(
        e -> (isRemovedEarlier(e) ? withheld : currentById).put(e.getId(), keepLeaving(e)));
    expired.keySet().removeAll(currentById.keySet());
    boolean inGrace = clock.nowMs() < graceUntilMs;
    entries.forEach(
        (id, e) -> {
          if (!currentById.containsKey(id)) {
            if (inGrace) {
              expired.put(id, e);
            } else {
              rememberRemoved(e);
            }
          }
        });
    entries.clear();
    entries.putAll(currentById);
    publish();
  }

  private boolean isRemovedEarlier(EndpointRecord entry) {
    Long startMs = removedStartMs.get(entry.getId());
    return startMs != null && startMs == entry.getStartedMs() && clock.nowMs() < restoredUntilMs;
  }

  private void rememberRemoved(EndpointRecord entry) {
    removedStartMs.put(entry.getId(), entry.getStartedMs());
    if (removedStartMs.size() > MAX_REMOVED) {
      removedStartMs.remove(removedStartMs.keySet().iterator().next());
    }
  }

  /** Returns the entry, marked as leaving if the same process announced its stop before. */
  private EndpointRecord keepLeaving(EndpointRecord entry) {
    EndpointRecord known = entries.getOrDefault(entry.getId(), expired.get(entry.getId()));
    boolean isLeaving =
        known != null && known.getLeaving() && known.getStartedMs() == entry.getStartedMs();
    return isLeaving ? entry.toBuilder().setLeaving(true).build() : entry;
  }

  /** Ends the grace periods: drops entries that are still missing, accepts those still there. */
  public void tick() {
    long nowMs = clock.nowMs();
    if (!expired.isEmpty() && nowMs >= graceUntilMs) {
      expired.values().forEach(this::rememberRemoved);
      expired.clear();
      publish();
    }
    if (!withheld.isEmpty() && nowMs >= restoredUntilMs) {
      entries.putAll(withheld);
      withheld.clear();
      publish();
    }
  }

  private void publish() {
    Map<String, EndpointRecord> all = new TreeMap<>(expired);
    all.putAll(entries);
    listener.accept(List.copyOf(all.values()));
  }
}
