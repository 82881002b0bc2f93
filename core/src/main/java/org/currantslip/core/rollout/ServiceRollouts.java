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
 * Chooses the version of a service for each request while a roll-out is under way, and stops the
 * new version on the evidence of all nodes.
 *
 * <p>A session keeps its version: it is in the new version's share by its hash, and the share only
 * grows, so that a session moves once at most.
 */
public final class ServiceRollouts {
  private static final long BUCKETS = 1 << 20;

  /** Any version will do. */
  private static final List<String> ANY = List.of("");

  /** An answer this much slower than the old version's mean counts as bad. */
  private static final double SLOW_FACTOR = 3.5;

  /** Samples of the old version needed before slowness is judged. */
  private static final int MIN_PACE_SAMPLES = 10;

  private static final double PACE_SMOOTHING = 0.05;

  private record CountKey(String version, String route) {}

  private final NodeId self;
  private final Consumer<VersionHalt> onHalt;
  private final Map<String, Rollout> rollouts = new TreeMap<>();
  private final Map<String, TreeSet<String>> versions = new HashMap<>();
  private final Map<String, Pace> paces = new HashMap<>();

  private ServiceRollouts(NodeId self, Consumer<VersionHalt> onHalt) {
    this.self = self;
    this.onHalt = onHalt;
  }

  /**
   * Returns a choice without roll-outs.
   *
   * @param onHalt told when this node stops a version on the evidence
   */
  public static ServiceRollouts create(NodeId self, Consumer<VersionHalt> onHalt) {
    return new ServiceRollouts(self, onHalt);
  }

  /** Takes the orders now in the store. */
  public void onOrders(List<RolloutOrder> orders) {
    Map<String, Rollout> fresh = new TreeMap<>();
    for (RolloutOrder order : orders) {
      Rollout known = rollouts.get(order.service());
      boolean same = known != null && known.order.isSameOrder(order);
      Rollout rollout = same && known != null ? known : new Rollout();
      rollout.order = order;
      fresh.put(order.service(), rollout);
    }
    rollouts.clear();
    rollouts.putAll(fresh);
  }

  /** Takes the endpoints now in service. */
  public void onEndpoints(List<EndpointRecord> endpoints) {
    versions.clear();
    endpoints.stream()
        .filter(e -> !e.getLeaving())
        .forEach(
            e ->
                versions.computeIfAbsent(e.getService(), s -> new TreeSet<>()).add(e.getVersion()));
  }

  /** Returns the orders with their progress. */
  public List<RolloutOrder> orders() {
    return rollouts.values().stream().map(r -> r.order).toList();
  }

  /** Returns whether the new version of a service was stopped on the evidence. */
  public boolean isHalted(String service) {
    return Optional.ofNullable(rollouts.get(service)).map(r -> r.halted).orElse(false);
  }

  /** Returns the versions that may serve a request, the preferred one first; empty means any. */
  public List<String> versions(String service, String key) {
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return ANY;
    }
    String target = rollout.order.target();
    List<String> others =
        versions.getOrDefault(service, new TreeSet<>()).stream()
            .filter(v -> !v.equals(target))
            .toList();
    RolloutOrder.Progress progress = rollout.order.progress();
    boolean barred = rollout.halted || progress.state() == RolloutOrder.State.ROLLED_BACK;
    if (barred || progress.state() == RolloutOrder.State.ORDERED) {
      return others;
    }
    boolean isNew =
        progress.state() == RolloutOrder.State.COMPLETE || fraction(target, key) < progress.share();
    List<String> order = new ArrayList<>();
    if (isNew) {
      order.add(target);
      order.addAll(others);
    } else {
      order.addAll(others);
    }
    return order;
  }

  private static double fraction(String target, String key) {
    long hash =
        Hashing.murmur3_128().hashString(target + '\0' + key, StandardCharsets.UTF_8).asLong();
    return (double) Math.floorMod(hash, BUCKETS) / BUCKETS;
  }

  /** Counts how a request ended. */
  public void onOutcome(String service, String version, String route, OutcomeSample sample) {
    Rollout rollout = rollouts.get(service);
    boolean isNew = rollout != null && rollout.order.target().equals(version);
    Pace pace = paces.computeIfAbsent(route, r -> new Pace());
    boolean slow = isNew && pace.isSlow(sample.paceMs());
    if (!isNew && sample.paceMs() >= 0) {
      pace.add(sample.paceMs());
    }
    if (rollout == null || rollout.order.progress().isFinal()) {
      return;
    }
    rollout.own.merge(
        new CountKey(version, route), Counts.of(sample.isFailure(), slow), Counts::plus);
    judge(rollout);
  }

  /** Takes the counts of another node. */
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
            rollout.others.put(report.getNode(), counts);
            judge(rollout);
          }
        });
  }

  /** Takes another node's word that it stopped a version. */
  public void onHalt(VersionHalt halt) {
    Rollout rollout = rollouts.get(halt.getService());
    if (rollout != null && rollout.order.target().equals(halt.getVersion())) {
      rollout.halted = true;
    }
  }

  /** Returns this node's counts, to be sent to peers; empty when no roll-out is under way. */
  public Optional<OutcomeReport> report() {
    OutcomeReport.Builder report = OutcomeReport.newBuilder().setNode(self);
    rollouts.values().stream()
        .filter(r -> !r.order.progress().isFinal())
        .forEach(
            r ->
                r.own.forEach(
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

  /** Returns how many requests the new version of a service has answered, as far as known. */
  public long seen(String service) {
    Rollout rollout = rollouts.get(service);
    return rollout == null
        ? 0
        : rollout.all().stream()
            .flatMap(m -> m.entrySet().stream())
            .filter(e -> e.getKey().version().equals(rollout.order.target()))
            .mapToLong(e -> e.getValue().all())
            .sum();
  }

  private void judge(Rollout rollout) {
    if (rollout.halted) {
      return;
    }
    String target = rollout.order.target();
    Map<String, Counts> fresh = new TreeMap<>();
    Map<String, Counts> old = new TreeMap<>();
    rollout.all().stream()
        .flatMap(m -> m.entrySet().stream())
        .forEach(
            e -> {
              Map<String, Counts> side = e.getKey().version().equals(target) ? fresh : old;
              side.merge(e.getKey().route(), e.getValue(), Counts::plus);
              side.merge("", e.getValue(), Counts::plus);
            });
    Optional<String> worse =
        fresh.entrySet().stream()
            .filter(e -> e.getValue().isWorseThan(old.getOrDefault(e.getKey(), Counts.NONE)))
            .map(e -> e.getKey() + " " + e.getValue() + " against " + old.get(e.getKey()))
            .findFirst();
    worse.ifPresent(
        reason -> {
          rollout.halted = true;
          onHalt.accept(
              VersionHalt.newBuilder()
                  .setService(rollout.order.service())
                  .setVersion(target)
                  .setReason(reason)
                  .build());
        });
  }

  /** One order and the evidence on it. */
  private static final class Rollout {
    private RolloutOrder order = new RolloutOrder("", "", 0, 0, RolloutOrder.Progress.ordered());
    private final Map<CountKey, Counts> own = new HashMap<>();
    private final Map<NodeId, Map<CountKey, Counts>> others = new HashMap<>();
    private boolean halted;

    private Collection<Map<CountKey, Counts>> all() {
      List<Map<CountKey, Counts>> all = new ArrayList<>(others.values());
      all.add(own);
      return all;
    }
  }

  /** Answers of one version on one route. */
  private record Counts(long good, long bad) {
    private static final Counts NONE = new Counts(0, 0);

    private static Counts of(boolean failed, boolean slow) {
      return failed || slow ? new Counts(0, 1) : new Counts(1, 0);
    }

    private Counts plus(Counts other) {
      return new Counts(good + other.good, bad + other.bad);
    }

    private long all() {
      return good + bad;
    }

    private boolean isWorseThan(Counts old) {
      return VersionComparison.isWorse(bad, all(), old.bad, old.all());
    }
  }

  /** Mean time of the old version's answers on one route. */
  private static final class Pace {
    private double meanMs;
    private int samples;

    private void add(double ms) {
      samples++;
      meanMs += Math.max(PACE_SMOOTHING, 1.0 / samples) * (ms - meanMs);
    }

    private boolean isSlow(double ms) {
      return samples >= MIN_PACE_SAMPLES && ms > SLOW_FACTOR * meanMs;
    }
  }
}
