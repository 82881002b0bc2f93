package org.currantslip.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/** Takes the shortest expected wait of two endpoints by prompt prefix and two at random. */
public final class ExpectedWaitChooser implements EndpointChooser {
  private static final int BY_PREFIX = 2;
  private static final int AT_RANDOM = 2;
  private static final int MAX_TRIES = 16;
  private static final double PREFILL_MS_PER_TOKEN = 0.25;
  private static final double OTHER_DOMAIN_MS = 1;

  private record PoolKey(String model, String version, String service) {}

  private final Clock clock;
  private final String selfFailureDomain;
  private final SplittableRandom random;
  private final Map<String, EndpointState> states = new HashMap<>();
  private Map<PoolKey, EndpointPool> pools = Map.of();

  private ExpectedWaitChooser(Clock clock, String selfFailureDomain, long seed) {
    this.clock = clock;
    this.selfFailureDomain = selfFailureDomain;
    random = new SplittableRandom(seed);
  }

  /** Returns a chooser that knows no endpoints yet. */
  public static ExpectedWaitChooser create(Clock clock, String selfFailureDomain, long seed) {
    return new ExpectedWaitChooser(clock, selfFailureDomain, seed);
  }

  @Override
  public void onEndpoints(List<EndpointRecord> endpoints) {
    Map<PoolKey, List<EndpointState>> members = new HashMap<>();
    Map<String, EndpointState> kept = new HashMap<>();
    for (EndpointRecord rec : endpoints) {
      EndpointState state = states.getOrDefault(rec.getId(), new EndpointState(rec));
      state.setRec(rec);
      kept.put(rec.getId(), state);
      PoolKey key = new PoolKey(rec.getModel(), rec.getVersion(), rec.getService());
      members.computeIfAbsent(key, k -> new ArrayList<>()).add(state);
    }
    states.clear();
    states.putAll(kept);
    Map<PoolKey, EndpointPool> built = new HashMap<>();
    members.forEach((key, list) -> built.put(key, EndpointPool.of(list)));
    pools = built;
  }

  @Override
  public void onLoad(EndpointLoad load) {
    EndpointState state = states.get(load.endpointId());
    if (state != null) {
      state.setLoad(load);
    }
  }

  @Override
  public Optional<EndpointRecord> choose(RouteQuery query) {
    EndpointPool pool = pools.get(new PoolKey(query.model(), query.version(), query.service()));
    if (pool == null) {
      return Optional.empty();
    }
    EndpointState best = best(pool, query);
    if (best == null) {
      return Optional.empty();
    }
    if (query.prefixHash() != 0) {
      best.addPrefix(query.prefixHash());
    }
    return Optional.of(best.rec());
  }

  private @Nullable EndpointState best(EndpointPool pool, RouteQuery query) {
    long now = clock.nowMs();
    EndpointState best = null;
    double least = Double.POSITIVE_INFINITY;
    int found = 0;
    int wanted = query.prefixHash() == 0 ? AT_RANDOM : BY_PREFIX + AT_RANDOM;
    int place = query.prefixHash() == 0 ? 0 : pool.place(query.prefixHash());
    for (int i = 0; i < MAX_TRIES && found < wanted; i++) {
      boolean byPrefix = query.prefixHash() != 0 && i < BY_PREFIX;
      EndpointState state =
          byPrefix ? pool.owner(place + i) : pool.member(random.nextInt(pool.size()));
      if (!state.usable(now) || query.excluded().contains(state.rec().getId())) {
        continue;
      }
      found++;
      double cost = cost(state, query, now);
      if (cost < least) {
        least = cost;
        best = state;
      }
    }
    return best;
  }

  private double cost(EndpointState state, RouteQuery query, long now) {
    double prefill =
        query.prefixHash() != 0 && state.holdsPrefix(query.prefixHash())
            ? 0
            : query.promptTokens() * PREFILL_MS_PER_TOKEN;
    boolean near = state.rec().getFailureDomain().equals(selfFailureDomain);
    return state.waitMs(now) + prefill + (near ? 0 : OTHER_DOMAIN_MS);
  }

  @Override
  public void dispatched(String endpointId, long expectedTokens) {
    EndpointState state = states.get(endpointId);
    if (state != null) {
      state.dispatched(clock.nowMs());
    }
  }

  @Override
  public void finished(String endpointId, CallResult result) {
    EndpointState state = states.get(endpointId);
    if (state != null) {
      state.finished(clock.nowMs(), result);
    }
  }

  @Override
  public List<EndpointRecord> endpoints() {
    return states.values().stream().map(EndpointState::rec).toList();
  }

  @Override
  public Optional<EndpointLoad> load(String endpointId) {
    return Optional.ofNullable(states.get(endpointId)).map(EndpointState::load);
  }
}
