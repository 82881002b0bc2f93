package org.currantslip.core.routing;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.currantslip.core.route.Homes;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * States of the known endpoints, grouped by what they serve.
 *
 * <p>The pools leave out the endpoints of evacuated failure domains. For requests that are bound to
 * regions, pools of the endpoints there are built on first use, so that a choice among them costs
 * no more than one among all.
 */
final class EndpointPools {
  /** Far more than the sets of regions times the pools of a service in use at one time. */
  private static final int MAX_HOME_POOLS = 64;

  /** What the endpoints of a pool have in common; an empty version stands for all versions. */
  record Key(String model, String version, String service) {
    // Written out: the generated methods run through method handles, which the JVM's first
    // compiler,
    // the only one that nodes use, does not inline, and which each process links again.
    @Override
    public boolean equals(@Nullable Object obj) {
      return obj instanceof Key other
          && model.equals(other.model)
          && version.equals(other.version)
          && service.equals(other.service);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * model.hashCode() + version.hashCode()) + service.hashCode();
    }
  }

  private record HomeKey(Key key, ImmutableSet<String> regions) {}

  /** Prompt parts that are remembered for all endpoints together; about 150 bytes each. */
  private static final int MAX_PARTS = 100_000;

  private static final int MIN_PARTS_PER_ENDPOINT = 64;

  private final Map<String, EndpointState> states = new HashMap<>();
  private final Map<HomeKey, Optional<EndpointPool>> homePools = new HashMap<>();
  private Map<Key, List<EndpointState>> members = Map.of();
  private Map<Key, EndpointPool> pools = Map.of();
  private ImmutableSet<String> evacuated = ImmutableSet.of();

  private EndpointPools() {}

  static EndpointPools create() {
    return new EndpointPools();
  }

  /** Replaces the endpoints; the state of an instance that stays is kept. */
  void replace(List<EndpointRecord> endpoints) {
    Map<Key, List<EndpointState>> newMembers = new HashMap<>();
    Map<String, EndpointState> newStates = new HashMap<>();
    for (EndpointRecord endpoint : endpoints) {
      EndpointState existing = states.get(endpoint.getId());
      boolean sameInstance =
          existing != null && existing.endpoint().getStartedMs() == endpoint.getStartedMs();
      EndpointState state =
          sameInstance && existing != null ? existing : new EndpointState(endpoint);
      state.setEndpoint(endpoint);
      newStates.put(endpoint.getId(), state);
      Key key = new Key(endpoint.getModel(), endpoint.getVersion(), endpoint.getService());
      newMembers.computeIfAbsent(key, k -> new ArrayList<>()).add(state);
      if (!endpoint.getService().isEmpty() && !endpoint.getVersion().isEmpty()) {
        Key anyVersion = new Key(endpoint.getModel(), "", endpoint.getService());
        newMembers.computeIfAbsent(anyVersion, k -> new ArrayList<>()).add(state);
      }
    }
    states.clear();
    states.putAll(newStates);
    int maxParts = Math.max(MIN_PARTS_PER_ENDPOINT, MAX_PARTS / Math.max(1, states.size()));
    states.values().forEach(state -> state.promptCache().setMaxParts(maxParts));
    members = newMembers;
    rebuild();
  }

  /** Leaves the endpoints of these failure domains out of all pools. */
  void setEvacuated(ImmutableSet<String> domains) {
    evacuated = domains;
    rebuild();
  }

  private void rebuild() {
    homePools.clear();
    Map<Key, EndpointPool> newPools = new HashMap<>();
    members.forEach(
        (key, list) -> poolOf(list, Homes.all()).ifPresent(pool -> newPools.put(key, pool)));
    pools = newPools;
  }

  private Optional<EndpointPool> poolOf(List<EndpointState> candidates, Homes homes) {
    List<EndpointState> allowed =
        candidates.stream()
            .filter(s -> !isEvacuated(s.endpoint()) && homes.allows(s.endpoint().getRegion()))
            .toList();
    return allowed.isEmpty() ? Optional.empty() : Optional.of(EndpointPool.of(allowed));
  }

  private boolean isEvacuated(EndpointRecord endpoint) {
    return evacuated.contains(endpoint.getFailureDomain());
  }

  /** Returns whether a service has endpoints in these homes, all of which are evacuated. */
  boolean isEvacuated(String service, Homes homes) {
    if (evacuated.isEmpty() || pool("", "", service, homes) != null) {
      return false;
    }
    return members.getOrDefault(new Key("", "", service), List.of()).stream()
        .anyMatch(s -> homes.allows(s.endpoint().getRegion()));
  }

  Set<String> ids() {
    return states.keySet();
  }

  Collection<EndpointState> states() {
    return states.values();
  }

  @Nullable EndpointState state(String endpointId) {
    return states.get(endpointId);
  }

  /** Returns the endpoints that serve this in these homes, or null if there are none. */
  @Nullable EndpointPool pool(String model, String version, String service, Homes homes) {
    Key key = new Key(model, version, service);
    if (!homes.restricted()) {
      return pools.get(key);
    }
    HomeKey homeKey = new HomeKey(key, homes.regions());
    Optional<EndpointPool> known = homePools.get(homeKey);
    if (known == null) {
      if (homePools.size() >= MAX_HOME_POOLS) {
        homePools.clear();
      }
      known = poolOf(members.getOrDefault(key, List.of()), homes);
      homePools.put(homeKey, known);
    }
    return known.orElse(null);
  }
}
