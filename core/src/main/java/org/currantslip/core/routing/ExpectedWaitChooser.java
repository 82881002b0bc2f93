package org.currantslip.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/**
 * Takes the endpoint with the shortest expected time to the first token.
 *
 * <p>That time is the wait for a slot, plus the reading of what this node's earlier requests have
 * yet to have read there, plus the reading of the parts of the prompt that the endpoint does not
 * keep. Small pools are compared whole. In large ones two endpoints by prompt prefix and two at
 * random are compared, so that a decision costs the same at any size; all nodes find the same two,
 * so that a shared part is read by few endpoints.
 */
public final class ExpectedWaitChooser implements EndpointChooser {
  private static final HashFunction AFFINITY = Hashing.murmur3_128();
  private static final int BY_PREFIX = 2;
  private static final int AT_RANDOM = 2;
  private static final int MAX_TRIES = 16;

  /** Pools up to this size are compared whole; as much work as the tries in a large one. */
  private static final int SMALL_POOL = 16;

  /** Time that a failed request costs its caller: about one objective. */
  private static final double FAULT_COST_MS = 2_000;

  private static final double PREFILL_MS_PER_TOKEN = 0.25;
  private static final double OTHER_DOMAIN_MS = 1;

  private record PoolKey(String model, String version, String service) {}

  private final Clock clock;
  private final String selfFailureDomain;
  private final SplittableRandom random;
  private final Map<String, EndpointState> states = new HashMap<>();
  private final Map<PoolKey, PrefillRate> rates = new HashMap<>();
  private final Map<String, MeanTime> readingTimes = new HashMap<>();
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
      EndpointState known = states.get(rec.getId());
      boolean same = known != null && known.rec().getStartedMs() == rec.getStartedMs();
      EndpointState state = same && known != null ? known : new EndpointState(rec);
      state.setRec(rec);
      kept.put(rec.getId(), state);
      PoolKey key = new PoolKey(rec.getModel(), rec.getVersion(), rec.getService());
      members.computeIfAbsent(key, k -> new ArrayList<>()).add(state);
      if (!rec.getService().isEmpty() && !rec.getVersion().isEmpty()) {
        PoolKey any = new PoolKey(rec.getModel(), "", rec.getService());
        members.computeIfAbsent(any, k -> new ArrayList<>()).add(state);
      }
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
    long hash = affinity(query);
    int place = hash == 0 ? 0 : pool.place(hash);
    EndpointState home = hash == 0 ? null : pool.owner(place);
    PrefillRate rate = rate(query);
    EndpointState best = null;
    double least = Double.POSITIVE_INFINITY;
    int found = 0;
    boolean small = pool.size() <= SMALL_POOL && !query.prompt().isEmpty() || isPlain(pool, query);
    int wanted = small ? pool.size() : hash == 0 ? AT_RANDOM : BY_PREFIX + AT_RANDOM;
    int start = random.nextInt(pool.size());
    for (int i = 0; i < (small ? pool.size() : MAX_TRIES) && found < wanted; i++) {
      EndpointState state = candidate(pool, i, small ? start : -1, hash, place);
      if (!state.usable(now) || query.excluded().contains(state.rec().getId())) {
        continue;
      }
      found++;
      double cost = cost(state, query, state == home, rate, now);
      if (cost < least) {
        least = cost;
        best = state;
      }
    }
    return best;
  }

  private static boolean isPlain(EndpointPool pool, RouteQuery query) {
    return pool.size() <= SMALL_POOL && !query.service().isEmpty();
  }

  private EndpointState candidate(EndpointPool pool, int i, int start, long hash, int place) {
    if (start >= 0) {
      return pool.member((start + i) % pool.size());
    }
    boolean byPrefix = hash != 0 && i < BY_PREFIX;
    return byPrefix ? pool.owner(place + i) : pool.member(random.nextInt(pool.size()));
  }

  /** Returns the hash by which nodes agree on the endpoints of a shared prompt part. */
  private static long affinity(RouteQuery query) {
    List<PromptPart> parts = query.prompt();
    if (parts.isEmpty()) {
      return query.prefixHash();
    }
    // The last part is the request's own; the one before it is the longest shared chain.
    PromptPart shared = parts.get(Math.max(0, parts.size() - 2));
    long hash = AFFINITY.hashString(shared.id(), StandardCharsets.UTF_8).asLong();
    return hash == 0 ? 1 : hash;
  }

  private PrefillRate rate(RouteQuery query) {
    return rates.computeIfAbsent(
        new PoolKey(query.engineModel(), "", query.service()), k -> PrefillRate.create());
  }

  private MeanTime readingTime(RouteQuery query) {
    return readingTimes.computeIfAbsent(query.service(), s -> new MeanTime());
  }

  /** Mean time that the prompts of a service take to be read. */
  private static final class MeanTime {
    private static final double SMOOTHING = 0.05;

    private double ms;

    private double ms() {
      return ms;
    }

    private void add(double next) {
      ms += SMOOTHING * (next - ms);
    }
  }

  private double cost(
      EndpointState state, RouteQuery query, boolean home, PrefillRate rate, long now) {
    double perToken = query.prompt().isEmpty() ? PREFILL_MS_PER_TOKEN : rate.msPerToken();
    boolean near = state.rec().getFailureDomain().equals(selfFailureDomain);
    return state.waitMs(now)
        + state.readingMs(now, readingTime(query).ms())
        + missingTokens(state, query, home) * perToken
        + state.faultShare(now) * FAULT_COST_MS
        + (near ? 0 : OTHER_DOMAIN_MS);
  }

  /** Returns the tokens of a prompt that an endpoint has yet to read. */
  private static long missingTokens(EndpointState state, RouteQuery query, boolean home) {
    List<PromptPart> parts = query.prompt();
    if (parts.isEmpty()) {
      boolean held = query.prefixHash() != 0 && state.holdsPrefix(query.prefixHash());
      return held ? 0 : query.promptTokens();
    }
    long own = parts.get(parts.size() - 1).tokens();
    // Other nodes send the shared parts to their home too, which this node does not see.
    long missing = state.parts().missing(query.engineModel(), parts);
    return home ? Math.min(missing, own) : missing;
  }

  @Override
  public boolean isUnreachable(String endpointId) {
    EndpointState state = states.get(endpointId);
    return state != null && state.isUnreachable(clock.nowMs());
  }

  @Override
  public EndpointUse use(String endpointId, RouteQuery query) {
    EndpointState state = states.get(endpointId);
    return state == null
        ? EndpointChooser.super.use(endpointId, query)
        : new CountedUse(state, query, rate(query));
  }

  /** Counts a request, and the prompt that is to be read for it, against its endpoint. */
  private final class CountedUse implements EndpointUse {
    private final EndpointState state;
    private final RouteQuery query;
    private final PrefillRate rate;
    private final long missing;
    private final double readMs;
    private final double aheadMs;
    private boolean reading;

    private CountedUse(EndpointState state, RouteQuery query, PrefillRate rate) {
      this.state = state;
      this.query = query;
      this.rate = rate;
      missing = state.parts().missing(query.engineModel(), query.prompt());
      readMs = missing * rate.msPerToken();
      aheadMs = state.readingMs(clock.nowMs(), readingTime(query).ms());
    }

    @Override
    public void started(long expectedTokens) {
      state.dispatched(clock.nowMs());
      state.addPending(1, readMs);
      readingTime(query).add(readMs);
      state.parts().hold(query.engineModel(), query.prompt());
      reading = true;
    }

    @Override
    public void answering(long firstByteMs) {
      if (reading) {
        reading = false;
        state.addPending(-1, -readMs);
        if (aheadMs < readMs) {
          rate.observe(missing, firstByteMs);
        }
      }
    }

    @Override
    public void unreachable() {
      state.unreachable(clock.nowMs());
    }

    @Override
    public void finished(CallResult result) {
      if (reading) {
        reading = false;
        state.addPending(-1, -readMs);
      }
      state.finished(clock.nowMs(), result);
    }
  }

  /** Returns the expected time to the first token; empty when no endpoint is usable. */
  @Override
  public OptionalDouble expectedMs(RouteQuery query) {
    EndpointPool pool = pools.get(new PoolKey(query.model(), query.version(), query.service()));
    EndpointState best = pool == null ? null : best(pool, query);
    return best == null
        ? OptionalDouble.empty()
        : OptionalDouble.of(cost(best, query, false, rate(query), clock.nowMs()));
  }

  /** Returns how many requests of a service find a place at once. */
  public int freePlaces(String service) {
    long now = clock.nowMs();
    EndpointPool pool = pools.get(new PoolKey("", "", service));
    return pool == null
        ? 0
        : IntStream.range(0, pool.size())
            .mapToObj(pool::member)
            .filter(s -> s.usable(now))
            .mapToInt(s -> s.freePlaces(now))
            .sum();
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
