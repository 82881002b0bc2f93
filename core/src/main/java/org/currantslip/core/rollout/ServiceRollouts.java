package org.currantslip.core.rollout;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.OutcomeCount;
import org.currantslip.schema.OutcomeReport;
import org.currantslip.schema.VersionHalt;

/**
 * Chooses the version of a service for each request during a rollout, and halts the new version
 * based on evidence from all nodes.
 *
 * <p>Sessions are sticky: a hash of the session key decides whether it belongs to the share of the
 * new version, and the share only grows, so a session changes its version at most once.
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

  private record CountKey(String version, String route) {}

  private final NodeId self;
  private final Consumer<VersionHalt> haltListener;
  private final Map<String, Rollout> rollouts = new TreeMap<>();
  private final Map<String, TreeSet<String>> versionsByService = new HashMap<>();
  private final Map<String, ResponseTimeBaseline> baselinesByRoute = new HashMap<>();

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
    Map<String, Rollout> updated = new TreeMap<>();
    for (RolloutOrder order : orders) {
      Rollout existing = rollouts.get(order.service());
      boolean isSameOrder = existing != null && existing.order.isSameOrder(order);
      Rollout rollout = isSameOrder && existing != null ? existing : new Rollout();
      rollout.order = order;
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

  /** Returns whether the new version of a service was halted. */
  public boolean isHalted(String service) {
    return Optional.ofNullable(rollouts.get(service)).map(r -> r.halted).orElse(false);
  }

  /** Returns the versions that may serve a request, preferred first; an empty name means any. */
  public List<String> versionsFor(String service, String key) {
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return ANY_VERSION;
    }
    String target = rollout.order.target();
    List<String> others =
        versionsByService.getOrDefault(service, new TreeSet<>()).stream()
            .filter(v -> !v.equals(target))
            .toList();
    RolloutOrder.Progress progress = rollout.order.progress();
    boolean isExcluded = rollout.halted || progress.state() == RolloutOrder.State.ROLLED_BACK;
    if (isExcluded || progress.state() == RolloutOrder.State.ORDERED) {
      return others;
    }
    boolean isNew =
        progress.state() == RolloutOrder.State.COMPLETE
            || hashFraction(target, key) < progress.share();
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

  /** Records the outcome of a request. */
  public void onOutcome(String service, String version, String route, OutcomeSample sample) {
    Rollout rollout = rollouts.get(service);
    boolean isNew = rollout != null && rollout.order.target().equals(version);
    ResponseTimeBaseline baseline =
        baselinesByRoute.computeIfAbsent(route, r -> new ResponseTimeBaseline());
    boolean slow = isNew && baseline.isSlow(sample.responseTimeMs());
    if (!isNew && sample.responseTimeMs() >= 0) {
      baseline.add(sample.responseTimeMs());
    }
    if (rollout == null || rollout.order.progress().isFinal()) {
      return;
    }
    rollout.localCounts.merge(
        new CountKey(version, route), Counts.of(sample.isFailure(), slow), Counts::plus);
    haltIfWorse(rollout);
  }

  /** Merges the counts of another node. */
  public void onReport(OutcomeReport report) {
    if (report.getNode().equals(self)) {
      return;
    }
    Map<String, Map<CountKey, Counts>> byService = new HashMap<>();
    for (OutcomeCount c : report.getCountList()) {
      byService
          .computeIfAbsent(c.getService(), s -> new HashMap<>())
          .put(
              new CountKey(c.getVersion(), c.getRoute()),
              new Counts(c.getGood(), c.getFailed() + c.getSlow()));
    }
    byService.forEach(
        (service, counts) -> {
          Rollout rollout = rollouts.get(service);
          if (rollout != null && !rollout.order.progress().isFinal()) {
            rollout.peerCounts.put(report.getNode(), counts);
            haltIfWorse(rollout);
          }
        });
  }

  /** Applies the halt of a version announced by another node. */
  public void onHalt(VersionHalt halt) {
    Rollout rollout = rollouts.get(halt.getService());
    if (rollout != null && rollout.order.target().equals(halt.getVersion())) {
      rollout.halted = true;
    }
  }

  /** Returns this node's counts to send to peers; empty if there are none to report. */
  public Optional<OutcomeReport> report() {
    OutcomeReport.Builder report = OutcomeReport.newBuilder().setNode(self);
    rollouts.values().stream()
        .filter(r -> !r.order.progress().isFinal())
        .forEach(
            r ->
                r.localCounts.forEach(
                    (key, c) ->
                        report.addCount(
                            OutcomeCount.newBuilder()
                                .setService(r.order.service())
                                .setVersion(key.version())
                                .setRoute(key.route())
                                .setGood(c.good())
                                .setFailed(c.bad()))));
    return report.getCountCount() == 0 ? Optional.empty() : Optional.of(report.build());
  }

  /** Returns the known number of requests answered by the new version of a service. */
  public long answeredRequests(String service) {
    Rollout rollout = rollouts.get(service);
    return rollout == null
        ? 0
        : rollout.allCounts().stream()
            .flatMap(m -> m.entrySet().stream())
            .filter(e -> e.getKey().version().equals(rollout.order.target()))
            .mapToLong(e -> e.getValue().total())
            .sum();
  }

  private void haltIfWorse(Rollout rollout) {
    if (rollout.halted) {
      return;
    }
    String target = rollout.order.target();
    Map<String, Counts> targetCounts = new TreeMap<>();
    Map<String, Counts> otherCounts = new TreeMap<>();
    rollout.allCounts().stream()
        .flatMap(m -> m.entrySet().stream())
        .forEach(
            e -> {
              Map<String, Counts> counts =
                  e.getKey().version().equals(target) ? targetCounts : otherCounts;
              counts.merge(e.getKey().route(), e.getValue(), Counts::plus);
              counts.merge("", e.getValue(), Counts::plus);
            });
    Optional<String> worse =
        targetCounts.entrySet().stream()
            .filter(
                e -> e.getValue().isWorseThan(otherCounts.getOrDefault(e.getKey(), Counts.NONE)))
            .map(e -> e.getKey() + " " + e.getValue() + " against " + otherCounts.get(e.getKey()))
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
    private final Map<CountKey, Counts> localCounts = new HashMap<>();
    private final Map<NodeId, Map<CountKey, Counts>> peerCounts = new HashMap<>();
    private boolean halted;

    private Collection<Map<CountKey, Counts>> allCounts() {
      List<Map<CountKey, Counts>> all = new ArrayList<>(peerCounts.values());
      all.add(localCounts);
      return all;
    }
  }

  /** Counts of good and bad answers of one version on one route. */
  private record Counts(long good, long bad) {
    private static final Counts NONE = new Counts(0, 0);

    private static Counts of(boolean failed, boolean slow) {
      return failed || slow ? new Counts(0, 1) : new Counts(1, 0);
    }

    private Counts plus(Counts other) {
      return new Counts(good + other.good, bad + other.bad);
    }

    private long total() {
      return good + bad;
    }

    private boolean isWorseThan(Counts other) {
      return VersionComparison.isWorse(bad, total(), other.bad, other.total());
    }
  }

  /** Moving average of the old version's response time on one route. */
  private static final class ResponseTimeBaseline {
    private double meanMs;
    private int sampleCount;

    private void add(double ms) {
      sampleCount++;
      meanMs += Math.max(MIN_SMOOTHING_FACTOR, 1.0 / sampleCount) * (ms - meanMs);
    }

    private boolean isSlow(double ms) {
      return sampleCount >= MIN_BASELINE_SAMPLES && ms > SLOW_FACTOR * meanMs;
    }
  }
}
