package org.currantslip.core.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.OutcomeCount;
import org.currantslip.schema.OutcomeReport;
import org.currantslip.schema.OutcomeSignal;
import org.currantslip.schema.VersionHalt;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the version of a service for each request during a rollout, and halts the new version
 * based on evidence from all nodes.
 *
 * <p>Sessions are sticky: a hash of the session decides whether it belongs to the share of the new
 * version, and the share only grows, so a session changes its version at most once. Requests
 * without a session have a share of their own, which starts to grow earlier.
 */
public final class ServiceRollouts {
  private static final long HASH_BUCKETS = 1 << 20;

  /** No restriction: any version may serve the request. */
  private static final List<String> ANY_VERSION = List.of("");

  /** An answer slower than the old version's mean by more than this factor counts as bad. */
  private static final double SLOW_FACTOR = 3.5;

  /** Samples of the old version required before answers can be classified as slow. */
  private static final int MIN_BASELINE_SAMPLES = 10;

  private static final double MIN_SMOOTHING_FACTOR = 0.05;

  /** Makes a lost report good within three seconds. */
  private static final int REPORTS_PER_COMPLETE_REPORT = 10;

  private record Series(String route, String model, OutcomeSignal signal) {
    // Written out: the generated methods run through method handles, which the JVM's first
    // compiler, the only one that nodes use, does not inline.
    @Override
    public boolean equals(@Nullable Object obj) {
      return obj instanceof Series other
          && route.equals(other.route)
          && model.equals(other.model)
          && signal == other.signal;
    }

    @Override
    public int hashCode() {
      return 31 * (31 * route.hashCode() + model.hashCode()) + signal.hashCode();
    }
  }

  private record CountKey(String version, String route, String model, OutcomeSignal signal) {
    /** Returns the groups of counts that are compared between the versions. */
    private Set<Series> groups() {
      return Set.copyOf(
          List.of(
              new Series(route, model, signal),
              new Series(route, "", signal),
              new Series("", "", signal)));
    }
  }

  private final NodeId self;
  private final Consumer<VersionHalt> haltListener;
  private final Map<String, Rollout> rollouts = new TreeMap<>();
  private final Map<String, TreeSet<String>> versionsByService = new HashMap<>();
  private final Map<Series, Baseline> baselines = new HashMap<>();
  private long reportCount;

  private ServiceRollouts(NodeId self, Consumer<VersionHalt> haltListener) {
    this.self = self;
    this.haltListener = haltListener;
  }

  /**
   * Creates an instance without rollouts.
   *
   * @param haltListener called when this node halts a version
   */
  public static ServiceRollouts create(NodeId self, Consumer<VersionHalt> haltListener) {
    return new ServiceRollouts(self, haltListener);
  }

  /** Replaces the orders with those currently in the store. */
  public void onOrders(List<RolloutOrder> orders) {
    onOrders(orders, false);
  }

  /**
   * Replaces the orders with those currently in the store.
   *
   * @param mayLack whether the store may have lost orders that will be written again; known orders
   *     that are missing then stay in force
   */
  public void onOrders(List<RolloutOrder> orders, boolean mayLack) {
    Map<String, Rollout> updated = mayLack ? new TreeMap<>(rollouts) : new TreeMap<>();
    for (RolloutOrder order : orders) {
      Rollout existing = rollouts.get(order.service());
      boolean isSameOrder = existing != null && existing.order.isSameOrder(order);
      Rollout rollout = isSameOrder && existing != null ? existing : new Rollout();
      rollout.order = order;
      rollout.reached = rollout.reached.latest(order.progress());
      updated.put(order.service(), rollout);
    }
    rollouts.clear();
    rollouts.putAll(updated);
  }

  /** Replaces the endpoints with those currently in service. */
  public void onEndpoints(List<EndpointRecord> endpoints) {
    versionsByService.clear();
    endpoints.stream()
        .filter(e -> !e.getLeaving())
        .forEach(
            e ->
                versionsByService
                    .computeIfAbsent(e.getService(), s -> new TreeSet<>())
                    .add(e.getVersion()));
  }

  /** Returns the orders with their progress. */
  public List<RolloutOrder> orders() {
    return rollouts.values().stream().map(r -> r.order).toList();
  }

  /** Returns the latest progress known for a service, which the store may have lost. */
  RolloutOrder.Progress reached(String service) {
    return Optional.ofNullable(rollouts.get(service))
        .map(r -> r.reached)
        .orElse(RolloutOrder.Progress.ordered());
  }

  /** Returns whether the new version of a service was halted. */
  public boolean isHalted(String service) {
    return Optional.ofNullable(rollouts.get(service)).map(r -> r.halted).orElse(false);
  }

  /**
   * Returns the versions that may serve a request, preferred first; an empty name means any.
   *
   * @param session session of the request, or empty if it has none
   */
  public List<String> versionsFor(String service, String session, String requestId) {
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return ANY_VERSION;
    }
    String target = rollout.order.target();
    List<String> others =
        versionsByService.getOrDefault(service, new TreeSet<>()).stream()
            .filter(v -> !v.isEmpty() && !v.equals(target))
            .toList();
    RolloutOrder.Progress progress = rollout.reached;
    boolean isExcluded = rollout.halted || progress.state() == RolloutOrder.State.ROLLED_BACK;
    if (isExcluded || progress.state() == RolloutOrder.State.ORDERED) {
      return others;
    }
    boolean isInShare =
        session.isEmpty()
            ? hashFraction(target, requestId) < progress.share()
            : hashFraction(target, session) < progress.sessionShare();
    boolean isNew = progress.state() == RolloutOrder.State.COMPLETE || isInShare;
    List<String> preference = new ArrayList<>();
    if (isNew) {
      preference.add(target);
      preference.addAll(others);
    } else {
      preference.addAll(others);
    }
    return preference;
  }

  private static double hashFraction(String target, String key) {
    long hash =
        Hashing.murmur3_128().hashString(target + '\0' + key, StandardCharsets.UTF_8).asLong();
    return (double) Math.floorMod(hash, HASH_BUCKETS) / HASH_BUCKETS;
  }

  /** Records an observation on a request. */
  public void onOutcome(String service, String version, String route, OutcomeSample sample) {
    Rollout rollout = rollouts.get(service);
    boolean isObserved = rollout != null && !rollout.reached.isFinal();
    boolean isOld = rollout == null || !rollout.order.target().equals(version);
    if (sample.signal() == OutcomeSignal.ANSWER && rollout != null && isObserved) {
      rollout.count(new CountKey(version, route, "", OutcomeSignal.ANSWER), sample.isFailure());
    }
    if (sample.responseTime() >= 0) {
      OutcomeSignal signal =
          sample.signal() == OutcomeSignal.ANSWER ? OutcomeSignal.PACE : sample.signal();
      Series series = new Series(route, sample.model(), signal);
      Baseline baseline = baselines.computeIfAbsent(series, k -> new Baseline());
      if (rollout != null && isObserved && baseline.isKnown()) {
        rollout.count(
            new CountKey(version, route, sample.model(), signal),
            baseline.isSlow(sample.responseTime()));
      }
      if (isOld) {
        baseline.add(sample.responseTime());
      }
    }
    if (rollout != null && isObserved) {
      haltIfWorse(rollout);
    }
  }

  /** Returns whether a first event that has not arrived by now will count as slow. */
  public boolean isFirstEventSlow(String route, String model, double relativeTime) {
    return isSlow(new Series(route, model, OutcomeSignal.FIRST_EVENT), relativeTime);
  }

  /** Returns whether a stream with this mean time between events counts as slow. */
  public boolean isPaceSlow(String route, String model, double eventIntervalMs) {
    return isSlow(new Series(route, model, OutcomeSignal.PACE), eventIntervalMs);
  }

  private boolean isSlow(Series series, double time) {
    Baseline baseline = baselines.get(series);
    return baseline != null && baseline.isKnown() && baseline.isSlow(time);
  }

  /** Merges the counts of another node. */
  public void onReport(OutcomeReport report) {
    if (report.getNode().equals(self)) {
      return;
    }
    Set<Rollout> updated = new HashSet<>();
    for (OutcomeCount c : report.getCountList()) {
      Rollout rollout = rollouts.get(c.getService());
      if (rollout != null && !rollout.reached.isFinal()) {
        CountKey key = new CountKey(c.getVersion(), c.getRoute(), c.getModel(), c.getSignal());
        Counts counts = new Counts(c.getGood(), c.getFailed() + c.getSlow());
        if (rollout.setPeerCounts(report.getNode(), key, counts)) {
          updated.add(rollout);
        }
      }
    }
    updated.forEach(this::haltIfWorse);
  }

  /** Applies the halt of a version announced by another node. */
  public void onHalt(VersionHalt halt) {
    Rollout rollout = rollouts.get(halt.getService());
    if (rollout != null && rollout.order.target().equals(halt.getVersion())) {
      rollout.halted = true;
    }
  }

  /**
   * Returns this node's counts to send to peers, or empty if there are none to report. Most reports
   * hold only the counts that changed since the previous one; every tenth is complete, because a
   * report may be lost.
   */
  public Optional<OutcomeReport> report() {
    boolean complete = reportCount++ % REPORTS_PER_COMPLETE_REPORT == 0;
    OutcomeReport.Builder report = OutcomeReport.newBuilder().setNode(self);
    rollouts.values().stream()
        .filter(r -> !r.reached.isFinal())
        .forEach(
            r -> {
              r.localCounts.forEach(
                  (key, c) -> {
                    if (complete || r.changed.contains(key)) {
                      report.addCount(toProto(r.order.service(), key, c));
                    }
                  });
              r.changed.clear();
            });
    return report.getCountCount() == 0 ? Optional.empty() : Optional.of(report.build());
  }

  private static OutcomeCount toProto(String service, CountKey key, Counts counts) {
    boolean isAnswer = key.signal() == OutcomeSignal.ANSWER;
    return OutcomeCount.newBuilder()
        .setService(service)
        .setVersion(key.version())
        .setRoute(key.route())
        .setModel(key.model())
        .setSignal(key.signal())
        .setGood(counts.good())
        .setFailed(isAnswer ? counts.bad() : 0)
        .setSlow(isAnswer ? 0 : counts.bad())
        .build();
  }

  /** Returns the known number of requests answered by the new version of a service. */
  public long answeredRequests(String service) {
    Rollout rollout = rollouts.get(service);
    return rollout == null
        ? 0
        : rollout
            .targetTotals
            .getOrDefault(new Series("", "", OutcomeSignal.ANSWER), Counts.NONE)
            .total();
  }

  /**
   * Returns whether the answers of the new version show, for each signal over all routes, that it
   * is not much worse than the old one.
   */
  public boolean isShownSound(String service) {
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return false;
    }
    return rollout.targetTotals.entrySet().stream()
        .filter(e -> e.getKey().route().isEmpty())
        .allMatch(
            e -> e.getValue().isSound(rollout.otherTotals.getOrDefault(e.getKey(), Counts.NONE)));
  }

  private void haltIfWorse(Rollout rollout) {
    if (rollout.halted) {
      return;
    }
    String target = rollout.order.target();
    Map<Series, Counts> others = rollout.otherTotals;
    Optional<String> worse =
        rollout.targetTotals.entrySet().stream()
            .filter(e -> e.getValue().isWorseThan(others.getOrDefault(e.getKey(), Counts.NONE)))
            .map(e -> e.getKey() + " " + e.getValue() + " against " + others.get(e.getKey()))
            .findFirst();
    worse.ifPresent(
        reason -> {
          rollout.halted = true;
          haltListener.accept(
              VersionHalt.newBuilder()
                  .setService(rollout.order.service())
                  .setVersion(target)
                  .setReason(reason)
                  .build());
        });
  }

  /** An order and the evidence collected for it. */
  private static final class Rollout {
    private RolloutOrder order = new RolloutOrder("", "", 0, 0, RolloutOrder.Progress.ordered());
    private RolloutOrder.Progress reached = RolloutOrder.Progress.ordered();
    private final Map<CountKey, Counts> localCounts = new HashMap<>();
    private final Map<NodeId, Map<CountKey, Counts>> peerCounts = new HashMap<>();
    private final Set<CountKey> changed = new HashSet<>();

    /** Sums over all nodes, kept current so that a report costs no more in a larger fleet. */
    private final Map<Series, Counts> targetTotals = new HashMap<>();

    private final Map<Series, Counts> otherTotals = new HashMap<>();
    private boolean halted;

    private void count(CountKey key, boolean bad) {
      Counts added = Counts.of(bad);
      localCounts.merge(key, added, Counts::plus);
      addToTotals(key, added);
      changed.add(key);
    }

    /** Replaces one count of a peer; returns whether it differs from the one before. */
    private boolean setPeerCounts(NodeId node, CountKey key, Counts counts) {
      Counts previous = peerCounts.computeIfAbsent(node, n -> new HashMap<>()).put(key, counts);
      Counts added = previous == null ? counts : counts.minus(previous);
      addToTotals(key, added);
      return !added.equals(Counts.NONE);
    }

    private void addToTotals(CountKey key, Counts added) {
      Map<Series, Counts> totals =
          key.version().equals(order.target()) ? targetTotals : otherTotals;
      key.groups().forEach(group -> totals.merge(group, added, Counts::plus));
    }
  }

  /** Counts of good and bad answers of one version on one route. */
  private record Counts(long good, long bad) {
    private static final Counts NONE = new Counts(0, 0);

    private static Counts of(boolean bad) {
      return bad ? new Counts(0, 1) : new Counts(1, 0);
    }

    private Counts plus(Counts other) {
      return new Counts(good + other.good, bad + other.bad);
    }

    private Counts minus(Counts other) {
      return new Counts(good - other.good, bad - other.bad);
    }

    private long total() {
      return good + bad;
    }

    private boolean isSound(Counts other) {
      return VersionComparison.isSound(bad, total(), other.bad, other.total());
    }

    private boolean isWorseThan(Counts other) {
      return VersionComparison.isWorse(bad, total(), other.bad, other.total());
    }
  }

  /** Moving average of the old version's response times in one series. */
  private static final class Baseline {
    private double mean;
    private int sampleCount;

    private void add(double time) {
      sampleCount++;
      mean += Math.max(MIN_SMOOTHING_FACTOR, 1.0 / sampleCount) * (time - mean);
    }

    private boolean isKnown() {
      return sampleCount >= MIN_BASELINE_SAMPLES;
    }

    private boolean isSlow(double time) {
      return time > SLOW_FACTOR * mean;
    }
  }
}
