package org.currantslip.core.routing;

import com.google.common.collect.ImmutableSet;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.allowance.EndpointAllowances;
import org.currantslip.core.allowance.EndpointNotice;
import org.currantslip.core.allowance.SenderShares;
import org.currantslip.core.common.Clock;
import org.currantslip.core.route.Homes;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.AllowanceReport;
import org.currantslip.schema.EndpointLimits;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.PrefillReport;
import org.currantslip.schema.RestrictionReport;
import org.currantslip.schema.SentPrompt;
import org.jspecify.annotations.Nullable;

/**
 * Selects the endpoint with the shortest expected time to the first token.
 *
 * <p>That time is the wait for a slot, plus the prefill of earlier requests from this node that are
 * still pending there, plus the prefill of the prompt parts that the endpoint has not cached. Small
 * pools are scanned in full. In large pools two endpoints by prompt prefix and two at random are
 * compared, so that the cost of a decision does not depend on the pool size. All nodes compute the
 * same two endpoints for a prefix, so that few endpoints prefill a shared part.
 *
 * <p>Nodes report the prompts they have sent to each other. A prompt of several thousand tokens
 * keeps an engine busy for longer than a load report takes to show it.
 */
public final class ExpectedWaitChooser implements EndpointChooser {
  private static final HashFunction AFFINITY_HASH = Hashing.murmur3_128();
  private static final int PREFIX_CANDIDATES = 2;
  private static final int RANDOM_CANDIDATES = 2;
  private static final int MAX_SAMPLES = 16;

  /** Pools up to this size are scanned in full, which costs as much as sampling a large one. */
  private static final int MAX_FULL_SCAN_SIZE = 16;

  /** Cost of a failed request to its caller: about one latency objective. */
  private static final double FAILURE_PENALTY_MS = 2_000;

  private static final double DEFAULT_PREFILL_MS_PER_TOKEN = 0.25;
  private static final double CROSS_DOMAIN_PENALTY_MS = 1;

  /** An endpoint that few nodes may use stays below its limit unless these nodes prefer it. */
  private static final double LIMITED_ENDPOINT_BONUS_MS = 5;

  private final Clock clock;
  private final String localFailureDomain;
  private final SplittableRandom random;
  private final EndpointPools pools = EndpointPools.create();
  private final Map<EndpointPools.Key, PrefillRateEstimator> prefillRates = new HashMap<>();
  private final Map<String, MeanPrefillTime> meanPrefillTimes = new HashMap<>();
  private final PeerPrefills peerPrefills = PeerPrefills.create();
  private final SentPrompts sentPrompts = SentPrompts.create();
  private final EndpointAllowances allowances;
  private volatile ImmutableSet<String> evacuatedDomains = ImmutableSet.of();

  private ExpectedWaitChooser(
      Clock clock, String localFailureDomain, long seed, EndpointAllowances allowances) {
    this.clock = clock;
    this.localFailureDomain = localFailureDomain;
    this.allowances = allowances;
    random = new SplittableRandom(seed);
  }

  /** Creates a chooser without endpoints, of a node that sends to them alone. */
  public static ExpectedWaitChooser create(Clock clock, String localFailureDomain, long seed) {
    return create(clock, localFailureDomain, seed, SenderShares.all());
  }

  /** Creates a chooser without endpoints, of a node that has a share of their request limits. */
  public static ExpectedWaitChooser create(
      Clock clock, String localFailureDomain, long seed, SenderShares shares) {
    return create(clock, localFailureDomain, seed, EndpointAllowances.create(shares));
  }

  /** Creates a chooser without endpoints, which sends to them within these allowances. */
  public static ExpectedWaitChooser create(
      Clock clock, String localFailureDomain, long seed, EndpointAllowances allowances) {
    return new ExpectedWaitChooser(clock, localFailureDomain, seed, allowances);
  }

  @Override
  public void onEndpoints(List<EndpointRecord> endpoints) {
    pools.replace(endpoints);
    peerPrefills.retain(pools.ids());
    allowances.onEndpoints(endpoints, clock.nowMs());
  }

  /** Returns the prompts that this node has sent, to be reported to other nodes. */
  public PrefillReport prefillReport() {
    return sentPrompts.report(pools.states());
  }

  /** Records the prompts that another node has sent. */
  public void onPrefillReport(String node, PrefillReport report) {
    peerPrefills.onReport(node, report, clock.nowMs());
    for (SentPrompt sent : report.getSentList()) {
      EndpointState state = pools.state(sent.getEndpoint());
      if (state != null) {
        state.promptCache().add(sent.getModel(), SentPrompts.parts(sent));
      }
    }
  }

  @Override
  public void onLoad(EndpointLoad load) {
    EndpointState state = pools.state(load.endpointId());
    if (state != null) {
      state.setLoad(load);
      allowances.onLoad(state.endpoint(), load.waiting());
    }
  }

  @Override
  public Optional<EndpointRecord> choose(EndpointQuery query) {
    EndpointPool pool = pool(query);
    if (pool == null) {
      return Optional.empty();
    }
    EndpointState best = findBest(pool, query);
    if (best == null) {
      return Optional.empty();
    }
    if (query.prefixHash() != 0) {
      best.addPrefix(query.prefixHash());
    }
    return Optional.of(best.endpoint());
  }

  private @Nullable EndpointPool pool(EndpointQuery query) {
    return pools.pool(query.model(), query.version(), query.service(), query.homes());
  }

  /** Sends no more requests to the endpoints of these failure domains. */
  public void setEvacuated(ImmutableSet<String> domains) {
    evacuatedDomains = domains;
    pools.setEvacuated(domains);
  }

  @Override
  public boolean isEvacuated(EndpointRecord endpoint) {
    return evacuatedDomains.contains(endpoint.getFailureDomain());
  }

  @Override
  public EndpointLack lack(String service, Homes homes) {
    if (pools.isEvacuated(service, homes)) {
      return EndpointLack.EVACUATED;
    }
    long now = clock.nowMs();
    boolean reachable =
        !homes.restricted() || states(service, homes).anyMatch(s -> s.isUsable(now));
    return reachable ? EndpointLack.NONE : EndpointLack.REGION;
  }

  private Stream<EndpointState> states(String service, Homes homes) {
    EndpointPool pool = pools.pool("", "", service, homes);
    return pool == null ? Stream.empty() : IntStream.range(0, pool.size()).mapToObj(pool::member);
  }

  private @Nullable EndpointState findBest(EndpointPool pool, EndpointQuery query) {
    long now = clock.nowMs();
    long hash = affinityHash(query);
    int ringIndex = hash == 0 ? 0 : pool.ringIndex(hash);
    EndpointState prefixOwner = hash == 0 ? null : pool.owner(ringIndex);
    PrefillRateEstimator prefillRate = prefillRate(query);
    EndpointState best = null;
    double lowestCostMs = Double.POSITIVE_INFINITY;
    int compared = 0;
    boolean scanAll =
        pool.size() <= MAX_FULL_SCAN_SIZE && !query.prompt().isEmpty()
            || isSmallServicePool(pool, query);
    int maxCandidates =
        scanAll
            ? pool.size()
            : hash == 0 ? RANDOM_CANDIDATES : PREFIX_CANDIDATES + RANDOM_CANDIDATES;
    int scanStart = random.nextInt(pool.size());
    for (int i = 0; i < (scanAll ? pool.size() : MAX_SAMPLES) && compared < maxCandidates; i++) {
      EndpointState state = candidate(pool, i, scanAll ? scanStart : -1, hash, ringIndex);
      if (!isUsable(state, now) || query.excluded().contains(state.endpoint().getId())) {
        continue;
      }
      compared++;
      double costMs = expectedCostMs(state, query, state == prefixOwner, prefillRate, now);
      if (costMs < lowestCostMs) {
        lowestCostMs = costMs;
        best = state;
      }
    }
    for (EndpointState state : scanAll ? List.<EndpointState>of() : ownParts(query, now)) {
      double costMs = expectedCostMs(state, query, state == prefixOwner, prefillRate, now);
      if (costMs < lowestCostMs) {
        lowestCostMs = costMs;
        best = state;
      }
    }
    return best;
  }

  /** Returns some usable endpoints that few other nodes may use, and that chance rarely finds. */
  private List<EndpointState> ownParts(EndpointQuery query, long now) {
    List<String> parts = allowances.parts(query.service(), now);
    int start = parts.isEmpty() ? 0 : random.nextInt(parts.size());
    return IntStream.range(0, Math.min(parts.size(), MAX_SAMPLES))
        .mapToObj(i -> pools.state(parts.get((start + i) % parts.size())))
        .filter(Objects::nonNull)
        .filter(s -> s.endpoint().getService().equals(query.service()))
        .filter(s -> query.homes().allows(s.endpoint().getRegion()) && !isEvacuated(s.endpoint()))
        .filter(s -> query.version().isEmpty() || s.endpoint().getVersion().equals(query.version()))
        .filter(s -> isUsable(s, now) && !query.excluded().contains(s.endpoint().getId()))
        .limit(RANDOM_CANDIDATES)
        .toList();
  }

  private boolean isUsable(EndpointState state, long nowMs) {
    return state.isUsable(nowMs) && allowances.permits(state.endpoint(), nowMs);
  }

  @Override
  public EndpointNotice.Effect onNotice(
      EndpointRecord endpoint, EndpointNotice notice, long sentMs) {
    return allowances.onNotice(endpoint, notice, sentMs, clock.nowMs());
  }

  /** Returns the request limits that other nodes must learn of, if there are any. */
  public Optional<EndpointLimits> limitReport() {
    return allowances.limitReport(clock.nowMs());
  }

  /** Applies request limits that another node has learned of. */
  public void onLimitReport(EndpointLimits report) {
    allowances.onLimitReport(report, clock.nowMs());
  }

  /** Applies what another node says of brittle services and of slots. */
  public void onAllowanceReport(String node, AllowanceReport report) {
    allowances.onReport(node, report, clock.nowMs());
  }

  /** Applies what another node says of endpoints that leave or want no requests. */
  public void onRestrictions(String node, RestrictionReport report) {
    allowances.onRestrictions(node, report, clock.nowMs());
  }

  /** Records a request that is sent; returns whether it uses a lent slot. */
  private boolean onSent(EndpointState state) {
    state.onDispatched(clock.nowMs());
    return allowances.onSent(state.endpoint(), clock.nowMs());
  }

  /** Lifts the ejections of endpoints whose calls have failed for lack of a path since a time. */
  public void forgiveFailures(long sinceMs) {
    pools.states().forEach(state -> state.forgiveFailures(sinceMs));
  }

  private static boolean isSmallServicePool(EndpointPool pool, EndpointQuery query) {
    return pool.size() <= MAX_FULL_SCAN_SIZE && !query.service().isEmpty();
  }

  private EndpointState candidate(
      EndpointPool pool, int i, int scanStart, long hash, int ringIndex) {
    if (scanStart >= 0) {
      return pool.member((scanStart + i) % pool.size());
    }
    boolean byPrefix = hash != 0 && i < PREFIX_CANDIDATES;
    return byPrefix ? pool.owner(ringIndex + i) : pool.member(random.nextInt(pool.size()));
  }

  /** Returns the hash that maps a shared prompt part to the same endpoints on all nodes. */
  private static long affinityHash(EndpointQuery query) {
    List<PromptPart> parts = query.prompt();
    if (parts.isEmpty()) {
      return query.prefixHash();
    }
    // The last part is unique to the request; the one before it ends the longest shared prefix.
    PromptPart shared = parts.get(Math.max(0, parts.size() - 2));
    long hash = AFFINITY_HASH.hashString(shared.id(), StandardCharsets.UTF_8).asLong();
    return hash == 0 ? 1 : hash;
  }

  private PrefillRateEstimator prefillRate(EndpointQuery query) {
    return prefillRates.computeIfAbsent(
        new EndpointPools.Key(query.engineModel(), "", query.service()),
        k -> PrefillRateEstimator.create());
  }

  private MeanPrefillTime meanPrefillTime(EndpointQuery query) {
    return meanPrefillTimes.computeIfAbsent(query.service(), s -> new MeanPrefillTime());
  }

  /** Moving average of the prefill time of a service's prompts. */
  private static final class MeanPrefillTime {
    private static final double SMOOTHING = 0.05;

    private double ms;

    private double ms() {
      return ms;
    }

    private void update(double sampleMs) {
      ms += SMOOTHING * (sampleMs - ms);
    }
  }

  private double expectedCostMs(
      EndpointState state,
      EndpointQuery query,
      boolean prefixOwner,
      PrefillRateEstimator prefillRate,
      long now) {
    double perToken =
        query.prompt().isEmpty() ? DEFAULT_PREFILL_MS_PER_TOKEN : prefillRate.msPerToken();
    boolean sameDomain = state.endpoint().getFailureDomain().equals(localFailureDomain);
    return state.waitMs(now)
        + backlogMs(state, query, now)
        + uncachedTokens(state, query, prefixOwner) * perToken
        + state.failureRate(now) * FAILURE_PENALTY_MS
        + (sameDomain ? 0 : CROSS_DOMAIN_PENALTY_MS)
        - (allowances.isLeftToFew(state.endpoint(), now) ? LIMITED_ENDPOINT_BONUS_MS : 0);
  }

  private double backlogMs(EndpointState state, EndpointQuery query, long now) {
    return state.prefillBacklogMs(
        now, meanPrefillTime(query).ms(), peerPrefills.prefillMs(state.endpoint().getId(), now));
  }

  /** Returns the prompt tokens that an endpoint has to prefill. */
  private static long uncachedTokens(
      EndpointState state, EndpointQuery query, boolean prefixOwner) {
    List<PromptPart> parts = query.prompt();
    if (parts.isEmpty()) {
      boolean cached = query.prefixHash() != 0 && state.hasPrefix(query.prefixHash());
      return cached ? 0 : query.promptTokens();
    }
    long ownTokens = parts.get(parts.size() - 1).tokens();
    // Other nodes route the shared parts to the same prefix owner, which this node cannot observe.
    long uncached = state.promptCache().uncachedTokens(query.engineModel(), parts);
    return prefixOwner ? Math.min(uncached, ownTokens) : uncached;
  }

  @Override
  public boolean isUnreachable(String endpointId) {
    EndpointState state = pools.state(endpointId);
    return state != null && state.isUnreachable(clock.nowMs());
  }

  @Override
  public RequestTracker track(String endpointId, EndpointQuery query) {
    EndpointState state = pools.state(endpointId);
    return state == null
        ? EndpointChooser.super.track(endpointId, query)
        : new TrackedUse(state, query, prefillRate(query));
  }

  /** Accounts for a request and for the prefill of its prompt at its endpoint. */
  private final class TrackedUse implements RequestTracker {
    private final EndpointState state;
    private final EndpointQuery query;
    private final PrefillRateEstimator prefillRate;
    private final long uncached;
    private final double prefillMs;
    private final double backlogMs;
    private final double expectedFirstTokenMs;
    private boolean prefillPending;
    private boolean usesSlot;

    private TrackedUse(EndpointState state, EndpointQuery query, PrefillRateEstimator prefillRate) {
      this.state = state;
      this.query = query;
      this.prefillRate = prefillRate;
      uncached = state.promptCache().uncachedTokens(query.engineModel(), query.prompt());
      prefillMs = uncached * prefillRate.msPerToken();
      backlogMs = backlogMs(state, query, clock.nowMs());
      expectedFirstTokenMs = state.waitMs(clock.nowMs()) + backlogMs + prefillMs;
    }

    @Override
    public double expectedFirstTokenMs() {
      return expectedFirstTokenMs;
    }

    @Override
    public double expectedHeadMs() {
      return query.prompt().isEmpty()
          ? expectedFirstTokenMs + state.serviceMs()
          : expectedFirstTokenMs;
    }

    @Override
    public void onStarted(long expectedTokens) {
      usesSlot = onSent(state);
      state.addPendingPrompts(1, prefillMs);
      meanPrefillTime(query).update(prefillMs);
      state.promptCache().add(query.engineModel(), query.prompt());
      sentPrompts.add(state.endpoint().getId(), query);
      prefillPending = true;
    }

    @Override
    public void onFirstByte(long firstByteMs) {
      if (prefillPending) {
        prefillPending = false;
        state.addPendingPrompts(-1, -prefillMs);
        if (backlogMs < prefillMs) {
          prefillRate.observe(uncached, firstByteMs);
        }
      }
    }

    @Override
    public void onNoRoom() {
      allowances.onDeclined(state.endpoint());
    }

    @Override
    public void onHeard() {
      state.onHeard(clock.nowMs());
    }

    @Override
    public long endpointSilentMs() {
      return state.silentMs(clock.nowMs());
    }

    @Override
    public void onConnectFailure() {
      state.onConnectFailure(clock.nowMs());
    }

    @Override
    public void onFinished(CallResult result) {
      if (prefillPending) {
        prefillPending = false;
        state.addPendingPrompts(-1, -prefillMs);
      }
      state.onFinished(clock.nowMs(), result);
      if (usesSlot) {
        usesSlot = false;
        allowances.onSlotFree(state.endpoint(), clock.nowMs());
      }
    }
  }

  /** Returns the expected time to the first token, or empty if no endpoint is usable. */
  @Override
  public OptionalDouble expectedFirstTokenMs(EndpointQuery query) {
    EndpointPool pool = pool(query);
    EndpointState best = pool == null ? null : findBest(pool, query);
    return best == null
        ? OptionalDouble.empty()
        : OptionalDouble.of(expectedCostMs(best, query, false, prefillRate(query), clock.nowMs()));
  }

  /** Returns how many requests of a service can start in these homes without waiting. */
  public int freeSlots(String service, Homes homes) {
    long now = clock.nowMs();
    return states(service, homes)
        .filter(s -> isUsable(s, now))
        .mapToInt(s -> allowances.room(s.endpoint(), s.freeSlots(now), now))
        .sum();
  }

  /** Returns how many requests of a service can start without waiting. */
  public int freeSlots(String service) {
    return freeSlots(service, Homes.all());
  }

  @Override
  public long closedForMs(String service) {
    long now = clock.nowMs();
    EndpointPool pool = pools.pool("", "", service, Homes.all());
    if (pool == null) {
      return 0;
    }
    int start = pool.size() <= MAX_SAMPLES ? 0 : random.nextInt(pool.size());
    // Neighbours may be of one failure domain, whose endpoints are closed together.
    int stride = Math.max(1, pool.size() / MAX_SAMPLES);
    long closedMs =
        IntStream.range(0, Math.min(MAX_SAMPLES, pool.size()))
            .mapToObj(i -> pool.member((start + i * stride) % pool.size()))
            .filter(s -> s.isUsable(now))
            .mapToLong(s -> allowances.permittedInMs(s.endpoint(), now))
            .min()
            .orElse(0);
    return closedMs == Long.MAX_VALUE ? 0 : closedMs;
  }

  @Override
  public void onDispatched(String endpointId, long expectedTokens) {
    EndpointState state = pools.state(endpointId);
    if (state != null) {
      boolean unused = onSent(state);
    }
  }

  @Override
  public void onFinished(String endpointId, CallResult result) {
    EndpointState state = pools.state(endpointId);
    if (state != null) {
      state.onFinished(clock.nowMs(), result);
    }
  }

  @Override
  public List<EndpointRecord> endpoints() {
    return pools.states().stream().map(EndpointState::endpoint).toList();
  }

  @Override
  public Optional<EndpointRecord> endpoint(String endpointId) {
    return Optional.ofNullable(pools.state(endpointId)).map(EndpointState::endpoint);
  }

  @Override
  public Optional<EndpointLoad> load(String endpointId) {
    return Optional.ofNullable(pools.state(endpointId)).map(EndpointState::load);
  }
}
