package org.currantslip.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/** States of the known endpoints, grouped by what they serve. */
final class EndpointPools {
  /** What the endpoints of a pool have in common; an empty version stands for all versions. */
  record Key(String model, String version, String service) {
    // Written out: the generated methods run through method handles, which the JVM's first
    // compiler,
    // the only one that nodes use, does not inline, and which are linked anew in each process.
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

  private final Map<String, EndpointState> states = new HashMap<>();
  private Map<Key, EndpointPool> pools = Map.of();

  private EndpointPools() {}

  static EndpointPools create() {
    return new EndpointPools();
  }

  /** Replaces the endpoints; the state of an instance that stays is kept. */
  void replace(List<EndpointRecord> endpoints) {
    Map<Key, List<EndpointState>> members = new HashMap<>();
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
      members.computeIfAbsent(key, k -> new ArrayList<>()).add(state);
      if (!endpoint.getService().isEmpty() && !endpoint.getVersion().isEmpty()) {
        Key anyVersion = new Key(endpoint.getModel(), "", endpoint.getService());
        members.computeIfAbsent(anyVersion, k -> new ArrayList<>()).add(state);
      }
    }
    states.clear();
    states.putAll(newStates);
    Map<Key, EndpointPool> newPools = new HashMap<>();
    members.forEach((key, list) -> newPools.put(key, EndpointPool.of(list)));
    pools = newPools;
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

  @Nullable EndpointPool pool(String model, String version, String service) {
    return pools.get(new Key(model, version, service));
  }
}
