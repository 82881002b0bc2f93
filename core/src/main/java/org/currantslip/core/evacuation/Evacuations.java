package org.currantslip.core.evacuation;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.currantslip.core.common.Clock;
import org.jspecify.annotations.Nullable;

/**
 * The evacuation orders that are in force on this node.
 *
 * <p>An order stays in force if its object becomes unreadable, and for a while if its object is
 * missing after the store returned from an older copy. An order for an unknown failure domain takes
 * effect once an endpoint of that domain is known. Confined to the decision thread.
 */
public final class Evacuations {
  /** Time within which operators write orders again that the store has lost. */
  private static final long ORDER_REWRITE_MS = 10_000;

  /** What the store holds of an order in force. */
  enum Presence {
    STORED,
    UNREADABLE,
    MISSING
  }

  /** An order in force, with the time at which this node first saw it. */
  record Held(EvacuationOrder order, long firstSeenMs, Presence presence) {
    private Held with(Presence other) {
      return new Held(order, firstSeenMs, other);
    }
  }

  private final Clock clock;
  private final ImmutableSet<String> configuredDomains;
  private final EvacuationListener listener;
  private final Map<String, Held> held = new TreeMap<>();
  private final Map<String, EvacuationOrder> unknown = new TreeMap<>();
  private final Map<String, Long> refusedVersions = new HashMap<>();
  private @Nullable ImmutableSet<String> endpointDomains;
  private ImmutableSet<String> domains = ImmutableSet.of();
  private long missingUntilMs;

  private Evacuations(
      Clock clock, ImmutableSet<String> configuredDomains, EvacuationListener listener) {
    this.clock = clock;
    this.configuredDomains = configuredDomains;
    this.listener = listener;
  }

  /**
   * Returns an instance without orders.
   *
   * @param configuredDomains failure domains that the settings name
   */
  public static Evacuations create(
      Clock clock, ImmutableSet<String> configuredDomains, EvacuationListener listener) {
    return new Evacuations(clock, configuredDomains, listener);
  }

  /** Returns the evacuated failure domains. */
  public ImmutableSet<String> domains() {
    return domains;
  }

  /** Returns the orders in force. */
  List<Held> orders() {
    return List.copyOf(held.values());
  }

  /**
   * Replaces the orders by the current content of the store.
   *
   * @param unreadable names and store versions of objects that are no valid orders
   */
  public void onOrders(List<EvacuationOrder> orders, Map<String, Long> unreadable) {
    unknown.clear();
    Map<String, Held> before = new TreeMap<>(held);
    held.clear();
    orders.forEach(order -> accept(order, before.remove(order.domain())));
    unreadable.forEach(
        (name, version) -> refuse(name, version, EvacuationListener.Refusal.UNREADABLE));
    before.forEach(
        (name, order) -> {
          if (unreadable.containsKey(name)) {
            held.put(name, order.with(Presence.UNREADABLE));
          } else if (clock.nowMs() < missingUntilMs) {
            held.put(name, order.with(Presence.MISSING));
          }
        });
    refusedVersions
        .keySet()
        .removeIf(name -> !unknown.containsKey(name) && !unreadable.containsKey(name));
    publish();
  }

  /** Keeps orders that are missing for a while, as the store returned from an older copy. */
  public void onStoreRestored() {
    missingUntilMs = clock.nowMs() + ORDER_REWRITE_MS;
  }

  /** Ends the orders that are still missing after the store returned from an older copy. */
  public void tick() {
    if (missingUntilMs > 0 && clock.nowMs() >= missingUntilMs) {
      missingUntilMs = 0;
      held.values().removeIf(order -> order.presence() == Presence.MISSING);
      publish();
    }
  }

  /** Sets the failure domains of all known endpoints. */
  public void onEndpointDomains(Set<String> current) {
    endpointDomains = ImmutableSet.copyOf(current);
    List<EvacuationOrder> candidates = List.copyOf(unknown.values());
    unknown.clear();
    candidates.forEach(order -> accept(order, null));
    publish();
  }

  private void accept(EvacuationOrder order, @Nullable Held earlier) {
    if (earlier == null && !isKnown(order.domain())) {
      unknown.put(order.domain(), order);
      if (endpointDomains != null) {
        refuse(order.domain(), order.storeVersion(), EvacuationListener.Refusal.UNKNOWN_DOMAIN);
      }
      return;
    }
    // An object that lost its status was removed and created again between two looks.
    boolean sameOrder =
        earlier != null
            && (order.state() != EvacuationOrder.State.ORDERED
                || earlier.order().state() == EvacuationOrder.State.ORDERED);
    long seenMs = sameOrder && earlier != null ? earlier.firstSeenMs() : clock.nowMs();
    held.put(order.domain(), new Held(order, seenMs, Presence.STORED));
  }

  private boolean isKnown(String domain) {
    return configuredDomains.contains(domain)
        || (endpointDomains != null && endpointDomains.contains(domain));
  }

  private void refuse(String name, long version, EvacuationListener.Refusal refusal) {
    Long logged = refusedVersions.put(name, version);
    if (logged == null || logged != version) {
      listener.onRefused(name, version, refusal);
    }
  }

  private void publish() {
    ImmutableSet<String> current = ImmutableSet.copyOf(held.keySet());
    if (!current.equals(domains)) {
      domains = current;
      listener.onDomains(current);
    }
  }
}
