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

/** One version that turns bad before a fleet of nodes, until no node sends to it any more. */
final class ExposureRun {
  static final int NODES = 6;
  private static final String MODEL = "corridor";
  private static final String WATCHED = "v2";
  // Only the requests of the stage's share are simulated.
  private static final double STAGE_SHARE = 1;
  private static final int STAGE_REQUESTS = 200;
  private static final double STAGE_REQUESTS_PER_S = 5;
  private static final double SERVICE_REQUESTS_PER_S = 20;
  private static final int GOOD_REQUESTS_BEFORE = 1000;
  private static final double ANSWER_MS = 1500;
  private static final long EXCHANGE_MS = 200;
  private static final long PUSH_MS = 20;
  private static final long LINK_MS = 1;
  private static final int FAN_OUT = 2;
  private static final long GIVE_UP_MS = 900_000;

  /**
   * What happened until the stop.
   *
   * @param stopped whether every node stopped
   * @param bad bad or failed answers given of requests sent while bad
   * @param unseenBad those of them whose answer or rating was still due at the stop
   * @param answers answers sent while bad
   */
  record Result(boolean stopped, int bad, int unseenBad, int answers) {}

  private record Event(long atMs, long order, Runnable action) {}

  private final Scenario scenario;
  private final boolean baseline;
  private final SplittableRandom random;
  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final List<VersionPolicy> nodes = new ArrayList<>();
  private final List<BooleanSupplier> stops = new ArrayList<>();
  private final boolean[] pushing = new boolean[NODES];
  private final ConfigView config;
  private long order;
  private long sent;
  private final long badFrom;
  private int bad;
  private int unseenBad;
  private int answers;

  private ExposureRun(Scenario scenario, boolean baseline, long seed) {
    this.scenario = scenario;
    this.baseline = baseline;
    random = new SplittableRandom(seed);
    config = new ConfigView(1, rules(scenario.inService()));
    badFrom = scenario.inService() ? GOOD_REQUESTS_BEFORE : 0;
    for (int i = 0; i < NODES; i++) {
      nodes.add(node(i));
    }
  }

  static Result of(Scenario scenario, boolean baseline, long seed) {
    return new ExposureRun(scenario, baseline, seed).run();
  }

  static RuleSet rules(boolean inService) {
    Rule.Origin origin = new Rule.Origin(1, "rule", "bench");
    Rule allow = new Rule.AllowModel(origin, "*", "*", MODEL, "*");
    return inService
        ? RuleSet.of(List.of(allow, new Rule.Serve(origin, MODEL, WATCHED)))
        : RuleSet.of(
            List.of(
                allow,
                new Rule.Serve(origin, MODEL, "v1"),
                new Rule.RolloutStage(origin, MODEL, WATCHED, 1, STAGE_SHARE, STAGE_REQUESTS)));
  }

  private VersionPolicy node(int index) {
    NodeId id = NodeId.newBuilder().setName("n" + index).setIncarnation(1).build();
    EvidenceVersionPolicy policy =
        EvidenceVersionPolicy.create(id, clock, RolloutOptions.defaults());
    if (baseline) {
      FixedWindowPolicy window = new FixedWindowPolicy(policy, WATCHED);
      stops.add(window::stopped);
      return window;
    }
    stops.add(() -> policy.stopNotice(MODEL, WATCHED).isPresent());
    policy.setStopListener(this::spread);
    policy.setBadOutcomeListener(() -> push(index));
    return policy;
  }

  private void spread(BrakeNotice notice) {
    nodes.forEach(n -> after(LINK_MS, () -> n.onStopNotice(notice)));
  }

  private void after(long delayMs, Runnable action) {
    events.add(new Event(clock.nowMs() + delayMs, order++, action));
  }

  private Result run() {
    double rate = scenario.inService() ? SERVICE_REQUESTS_PER_S : STAGE_REQUESTS_PER_S;
    arrive(rate);
    for (int i = 0; i < NODES && !baseline; i++) {
      int node = i;
      after(random.nextLong(EXCHANGE_MS), () -> exchange(node));
    }
    long end = clock.nowMs() + GIVE_UP_MS;
    while (clock.nowMs() < end) {
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
    return stops.stream().allMatch(BooleanSupplier::getAsBoolean);
  }

  private void arrive(double rate) {
    send(random.nextInt(NODES));
    after(exponentialMs(1000 / rate), () -> arrive(rate));
  }

  private long exponentialMs(double meanMs) {
    return Math.round(-Math.log(1 - random.nextDouble()) * meanMs);
  }

  private void exchange(int from) {
    EvidenceReport report = nodes.get(from).evidence();
    for (int i = 0; i < FAN_OUT; i++) {
      int to = (from + 1 + random.nextInt(NODES - 1)) % NODES;
      after(LINK_MS, () -> nodes.get(to).onEvidence(report));
    }
    after(EXCHANGE_MS, () -> exchange(from));
  }

  private void push(int from) {
    if (pushing[from]) {
      return;
    }
    pushing[from] = true;
    after(
        PUSH_MS,
        () -> {
          pushing[from] = false;
          EvidenceReport report = nodes.get(from).evidence();
          nodes.forEach(n -> after(LINK_MS, () -> n.onEvidence(report)));
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
    if (version.equals(WATCHED)) {
      serve(policy);
    }
  }

  private void serve(VersionPolicy policy) {
    boolean isBad = sent++ >= badFrom;
    boolean fails = random.nextDouble() < (isBad ? scenario.errorRate() : Scenario.GOOD_ERROR_RATE);
    boolean good = random.nextDouble() >= (isBad ? scenario.badRate() : Scenario.GOOD_BAD_RATE);
    boolean harmful = isBad && (scenario.byErrors() ? fails : !fails && !good);
    policy.onDispatched(MODEL, WATCHED);
    answers += isBad ? 1 : 0;
    bad += harmful ? 1 : 0;
    unseenBad += harmful ? 1 : 0;
    after(exponentialMs(ANSWER_MS), () -> finish(policy, fails, good, harmful));
  }

  private void finish(VersionPolicy policy, boolean fails, boolean good, boolean harmful) {
    if (fails) {
      unseenBad -= harmful ? 1 : 0;
      policy.onFinished(MODEL, WATCHED, true);
      return;
    }
    policy.onFinished(MODEL, WATCHED, false);
    boolean rated = random.nextDouble() < scenario.coverage();
    after(
        exponentialMs((double) scenario.ratingDelayMs()),
        () -> {
          unseenBad -= harmful ? 1 : 0;
          if (rated) {
            policy.onRated(MODEL, WATCHED, good);
          }
        });
  }
}
