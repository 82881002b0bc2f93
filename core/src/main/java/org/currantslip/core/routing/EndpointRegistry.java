package org.currantslip.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.EndpointRecord;

/**
 * The endpoints that may get requests, from the entries that they write to the store.
 *
 * <p>An entry that is gone ends the use of its endpoint at once. Entries that lapsed while the
 * store was out of reach are different: living endpoints write them again soon after its return, so
 * they are kept for that long.
 */
public final class EndpointRegistry {
  /** Living endpoints write their entries again within this time after the store's return. */
  private static final long REWRITE_MS = 1_800;

  private final Clock clock;
  private final long minOutageMs;
  private final Consumer<List<EndpointRecord>> listener;
  private final Map<String, EndpointRecord> entries = new TreeMap<>();
  private final Map<String, EndpointRecord> lapsed = new HashMap<>();
  private long graceUntilMs;

  private EndpointRegistry(Clock clock, long minOutageMs, Consumer<List<EndpointRecord>> listener) {
    this.clock = clock;
    this.minOutageMs = minOutageMs;
    this.listener = listener;
  }

  /**
   * Returns a registry without endpoints.
   *
   * @param minOutageMs shortest outage of the store in which entries can lapse
   * @param listener gets the endpoints after each change
   */
  public static EndpointRegistry create(
      Clock clock, long minOutageMs, Consumer<List<EndpointRecord>> listener) {
    return new EndpointRegistry(clock, minOutageMs, listener);
  }

  /** Takes note that the store is back after an outage. */
  public void onStoreRegained(long outageMs) {
    if (outageMs >= minOutageMs) {
      graceUntilMs = clock.nowMs() + REWRITE_MS;
    }
  }

  /** Takes the entries now in the store. */
  public void onEntries(List<EndpointRecord> now) {
    Map<String, EndpointRecord> fresh = new TreeMap<>();
    now.forEach(e -> fresh.put(e.getId(), e));
    lapsed.keySet().removeAll(fresh.keySet());
    if (clock.nowMs() < graceUntilMs) {
      entries.forEach(
          (id, e) -> {
            if (!fresh.containsKey(id)) {
              lapsed.put(id, e);
            }
          });
    }
    entries.clear();
    entries.putAll(fresh);
    publish();
  }

  /** Drops lapsed entries that did not come back in time. */
  public void tick() {
    if (!lapsed.isEmpty() && clock.nowMs() >= graceUntilMs) {
      lapsed.clear();
      publish();
    }
  }

  private void publish() {
    Map<String, EndpointRecord> all = new TreeMap<>(lapsed);
    all.putAll(entries);
    listener.accept(List.copyOf(all.values()));
  }
}
