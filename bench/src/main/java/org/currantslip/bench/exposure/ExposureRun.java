package org.currantslip.bench.exposure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rollout.EvidenceVersionPolicy;
import org.currantslip.core.rollout.RolloutOptions;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.core.rollout.VersionQuery;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.EvidenceReport;
import org.currantslip.schema.NodeId;

/** Simulates a fleet whose watched version turns bad, until every node has stopped the version. */
final class ExposureRun {
  static final int NODES = 6;
  private static final String MODEL = "corridor";
  private static final String WATCHED_VERSION = "v2";
  // The simulated requests are only those that fall into the traffic share of the stage.
  private static final double STAGE_SHARE = 1;
  private static final int STAGE_REQUESTS = 200;
  private static final double STAGE_REQUESTS_PER_S = 5;
  private static final double SERVICE_REQUESTS_PER_S = 20;
  private static final int HEALTHY_REQUESTS = 1000;
  private static final double MEAN_ANSWER_MS = 1500;
  private static final long GOSSIP_INTERVAL_MS = 200;
  private static final long PUSH_DELAY_MS = 20;
  private static final long LINK_LATENCY_MS = 1;
  private static final int GOSSIP_FAN_OUT = 2;
  private static final long MAX_RUN_MS = 900_000;

  /**
   * Counts from the time the version turned bad until it was stopped on every node.
   *
   * @param stopped whether every node stopped the version within the time limit
   * @param bad bad answers, or failures in an error scenario, to requests sent while the version
   *     was bad
   * @param unseenBad those of {@code bad} whose answer or rating was still pending at the stop
   * @param answers requests sent while the version was bad
   */
  record Result(boolean stopped, int bad, int unseenBad, int answers) {}

  private record Event(long atMs, long sequence, Runnable action) {}

  private final Scenario scenario;
  private final boolean baseline;
  private final SplittableRandom random;
  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private final List<VersionPolicy> nodes = new ArrayList<>();
  private final List<BooleanSupplier> stopChecks = new ArrayList<>();
  private final boolean[] pushPending = new boolean[NODES];
  private final ConfigView config;
  private long sequence;
  private long servedRequests;
  private final long firstBadRequest;
  private int bad;
  private int unseenBad;
  private int answers;

  private ExposureRun(Scenario scenario, boolean baseline, long seed) {
    this.scenario = scenario;
    this.baseline = baseline;
    random = new SplittableRandom(seed);
    config = new ConfigView(1, rules(scenario.inService()));
    firstBadRequest = scenario.inService() ? HEALTHY_REQUESTS : 0;
    for (int i = 0; i < NODES; i++) {
      nodes.add(node(i));
    }
  }

  static Result simulate(Scenario scenario, boolean baseline, long seed) {
    return new ExposureRun(scenario, baseline, seed).run();
  }

  static RuleSet rules(boolean inService) {
    Rule.Origin origin = new Rule.Origin(1, "rule", "bench");
    Rule allow = new Rule.AllowModel(origin, "*", "*", MODEL, "*");
    return inService
        ? RuleSet.of(List.of(allow, new Rule.Serve(origin, MODEL, WATCHED_VERSION)))
        : RuleSet.of(
            List.of(
                allow,
                new Rule.Serve(origin, MODEL, "v1"),
                new Rule.RolloutStage(
                    origin, MODEL, WATCHED_VERSION, 1, STAGE_SHARE, STAGE_REQUESTS)));
  }

  private VersionPolicy node(int index) {
    NodeId id = NodeId.newBuilder().setName("n" + index).setIncarnation(1).build();
    EvidenceVersionPolicy policy =
        EvidenceVersionPolicy.create(id, clock, RolloutOptions.defaults());
    if (baseline) {
      FixedWindowPolicy windowPolicy = new FixedWindowPolicy(policy, WATCHED_VERSION);
      stopChecks.add(windowPolicy::stopped);
      return windowPolicy;
    }
    stopChecks.add(() -> policy.stopNotice(MODEL, WATCHED_VERSION).isPresent());
    policy.setStopListener(this::broadcastBrake);
    policy.setBadOutcomeListener(() -> pushEvidence(index));
    return policy;
  }

  private void broadcastBrake(BrakeNotice notice) {
    nodes.forEach(n -> after(LINK_LATENCY_MS, () -> n.onStopNotice(notice)));
  }

  private void after(long delayMs, Runnable action) {
    events.add(new Event(clock.nowMs() + delayMs, sequence++, action));
  }

  private Result run() {
    double requestsPerS = scenario.inService() ? SERVICE_REQUESTS_PER_S : STAGE_REQUESTS_PER_S;
    scheduleArrivals(requestsPerS);
    for (int i = 0; i < NODES && !baseline; i++) {
      int node = i;
      after(random.nextLong(GOSSIP_INTERVAL_MS), () -> gossipEvidence(node));
    }
    long endMs = clock.nowMs() + MAX_RUN_MS;
    while (clock.nowMs() < endMs) {
      Event next = events.remove();
      clock.advance(next.atMs() - clock.nowMs());
      next.action().run();
      if (allStopped()) {
        return new Result(true, bad, unseenBad, answers);
      }
    }
    return new Result(false, bad, unseenBad, answers);
  }

  private boolean allStopped() {
    return stopChecks.stream().allMatch(BooleanSupplier::getAsBoolean);
  }

  private void scheduleArrivals(double requestsPerS) {
    send(random.nextInt(NODES));
    after(exponentialMs(1000 / requestsPerS), () -> scheduleArrivals(requestsPerS));
  }

  private long exponentialMs(double meanMs) {
    return Math.round(-Math.log(1 - random.nextDouble()) * meanMs);
  }

  private void gossipEvidence(int from) {
    EvidenceReport report = nodes.get(from).evidence();
    for (int i = 0; i < GOSSIP_FAN_OUT; i++) {
      int to = (from + 1 + random.nextInt(NODES - 1)) % NODES;
      after(LINK_LATENCY_MS, () -> nodes.get(to).onEvidence(report));
    }
    after(GOSSIP_INTERVAL_MS, () -> gossipEvidence(from));
  }

  private void pushEvidence(int from) {
    if (pushPending[from]) {
      return;
    }
    pushPending[from] = true;
    after(
        PUSH_DELAY_MS,
        () -> {
          pushPending[from] = false;
          EvidenceReport report = nodes.get(from).evidence();
          nodes.forEach(n -> after(LINK_LATENCY_MS, () -> n.onEvidence(report)));
        });
  }

  private void send(int node) {
    VersionPolicy policy = nodes.get(node);
    VersionQuery query = new VersionQuery("a", "t", MODEL, "s" + random.nextLong(), null);
    String version;
    try {
      version = policy.choose(config, query).version();
    } catch (RefusalException e) {
      return;
    }
    if (version.equals(WATCHED_VERSION)) {
      serve(policy);
    }
  }

  private void serve(VersionPolicy policy) {
    boolean versionIsBad = servedRequests++ >= firstBadRequest;
    boolean requestFails =
        random.nextDouble() < (versionIsBad ? scenario.errorRate() : Scenario.HEALTHY_ERROR_RATE);
    boolean answerIsGood =
        random.nextDouble() >= (versionIsBad ? scenario.badRate() : Scenario.HEALTHY_BAD_RATE);
    boolean countsAsBad =
        versionIsBad
            && (scenario.isErrorScenario() ? requestFails : !requestFails && !answerIsGood);
    policy.onDispatched(MODEL, WATCHED_VERSION);
    answers += versionIsBad ? 1 : 0;
    bad += countsAsBad ? 1 : 0;
    unseenBad += countsAsBad ? 1 : 0;
    after(
        exponentialMs(MEAN_ANSWER_MS),
        () -> finish(policy, requestFails, answerIsGood, countsAsBad));
  }

  private void finish(
      VersionPolicy policy, boolean requestFails, boolean answerIsGood, boolean countsAsBad) {
    if (requestFails) {
      unseenBad -= countsAsBad ? 1 : 0;
      policy.onFinished(MODEL, WATCHED_VERSION, true);
      return;
    }
    policy.onFinished(MODEL, WATCHED_VERSION, false);
    boolean rated = random.nextDouble() < scenario.coverage();
    after(
        exponentialMs((double) scenario.ratingDelayMs()),
        () -> {
          unseenBad -= countsAsBad ? 1 : 0;
          if (rated) {
            policy.onRated(MODEL, WATCHED_VERSION, answerIsGood);
          }
        });
  }
}
