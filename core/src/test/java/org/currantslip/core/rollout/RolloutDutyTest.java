package org.currantslip.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.rollout.RolloutOrder.Progress;
import org.currantslip.core.rollout.RolloutOrder.State;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Three nodes share one stored order; writes are conditional on its version, as in the store. */
final class RolloutDutyTest {
  private static final List<String> NODES = List.of("a", "b", "c");
  private static final long STEP_MS = 50;
  private static final double REQUESTS_PER_SECOND = 10;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final Map<String, ServiceRollouts> rollouts = new HashMap<>();
  private final Map<String, ServiceRolloutController> duties = new HashMap<>();
  private final List<Progress> writtenProgress = new ArrayList<>();
  private final List<String> writers = new ArrayList<>();
  private final List<String> stoppedNodes = new ArrayList<>();
  private RolloutOrder order = new RolloutOrder("s", "v2", 24_000, 7, Progress.ordered());

  @BeforeEach
  void start() {
    restart(0.15);
  }

  private void restart(double exposureShare) {
    NODES.forEach(n -> addNode(n, exposureShare));
    NODES.forEach(n -> deliverOrder(n));
  }

  private void addNode(String name, double exposureShare) {
    NodeId id = NodeId.newBuilder().setName(name).build();
    ServiceRollouts r = ServiceRollouts.create(id, h -> {});
    r.onEndpoints(
        Stream.of("v1", "v2")
            .map(v -> EndpointRecord.newBuilder().setService("s").setVersion(v).build())
            .toList());
    rollouts.put(name, r);
    duties.put(
        name,
        ServiceRolloutController.create(
            new FixedMembership(id),
            r,
            (o, p) -> write(name, o.storeVersion(), p),
            clock,
            exposureShare));
  }

  private ServiceRollouts rolloutsOf(String name) {
    return Objects.requireNonNull(rollouts.get(name));
  }

  private ServiceRolloutController dutyOf(String name) {
    return Objects.requireNonNull(duties.get(name));
  }

  private void deliverOrder(String name) {
    rolloutsOf(name).onOrders(List.of(order));
  }

  private CompletableFuture<Long> write(String name, long expected, Progress progress) {
    if (expected != order.storeVersion()) {
      return CompletableFuture.failedFuture(
          StoreException.of(StoreException.Kind.CONFLICT, "test"));
    }
    order = new RolloutOrder("s", "v2", 24_000, expected + 1, progress);
    writtenProgress.add(progress);
    writers.add(name);
    return CompletableFuture.completedFuture(order.storeVersion());
  }

  private void run(long ms) {
    for (long t = 0; t < ms; t += STEP_MS) {
      clock.advance(STEP_MS);
      NODES.stream().filter(n -> !stoppedNodes.contains(n)).forEach(n -> dutyOf(n).tick());
      NODES.forEach(this::deliverOrder);
    }
  }

  private void answers(int count, OutcomeSample sample) {
    answers("v2", count, sample);
  }

  private void answers(String version, int count, OutcomeSample sample) {
    NODES.forEach(
        n ->
            IntStream.range(0, count)
                .forEach(i -> rolloutsOf(n).onOutcome("s", version, "r", sample)));
  }

  @Test
  void goodVersionCompletesInTimeAndHasSmallShareInTheFirstHalf() {
    run(1_000);
    assertThat(order.progress().state()).isEqualTo(State.IN_PROGRESS);
    answers(20, OutcomeSample.answered(10));
    run(10_500);
    assertThat(order.progress().share()).isAtMost(0.15);
    run(12_000);
    assertThat(order.progress().state()).isEqualTo(State.COMPLETE);
    assertThat(writtenProgress.stream().map(Progress::share).toList()).isInOrder();
  }

  /** Plays the share that the status grants; a version may show its fault only under full load. */
  @ParameterizedTest
  @CsvSource({
    "0.05, 0", "0.0975, 0", "0.15, 0", "0.3, 0",
    "0.05, 0.6", "0.0975, 0.6", "0.15, 0.6", "0.3, 0.6",
    "0.05, 1", "0.0975, 1", "0.15, 1", "0.3, 1"
  })
  void versionThatNeverFailsStaysWithinTheExposureBound(double bound, double sessionFraction) {
    restart(bound);
    double exposed = 0;
    for (long t = 0; t < 24_000; t += STEP_MS) {
      answers(1, OutcomeSample.answered(10));
      run(STEP_MS);
      Progress progress = order.progress();
      double share =
          (1 - sessionFraction) * progress.share() + sessionFraction * progress.sessionShare();
      exposed += share * STEP_MS / 24_000;
    }
    assertThat(order.progress().state()).isEqualTo(State.COMPLETE);
    assertThat(exposed).isAtMost(0.95 * bound);
  }

  @Test
  void noSessionChangesItsVersionInTheFirstHalf() {
    run(1_000);
    answers(20, OutcomeSample.answered(10));
    run(10_900);
    assertThat(order.progress().share()).isGreaterThan(0.0);
    assertThat(order.progress().sessionShare()).isEqualTo(0.0);
    run(1_000);
    assertThat(order.progress().sessionShare()).isGreaterThan(0.0);
  }

  /** Every request has a session, half of the answers are slow, each is known a second later. */
  @Test
  void versionWithSlowAnswersInSessionsIsRolledBackInTime() {
    answers("v1", 100, OutcomeSample.answered(10));
    ArrayDeque<Double> exposures = new ArrayDeque<>();
    double due = 0;
    long count = 0;
    for (long t = 0; t < 24_000; t += STEP_MS) {
      run(STEP_MS);
      exposures.add(order.progress().sessionShare() * REQUESTS_PER_SECOND * STEP_MS / 1_000);
      due += exposures.size() > 1_000 / STEP_MS ? exposures.remove() : 0;
      for (; due >= 1; due--) {
        OutcomeSample sample = OutcomeSample.answered(count++ % 2 == 0 ? 10 : 80);
        NODES.forEach(n -> rolloutsOf(n).onOutcome("s", "v2", "r", sample));
      }
    }
    assertThat(order.progress().state()).isEqualTo(State.ROLLED_BACK);
  }

  @Test
  void versionWithSlowAnswersDoesNotGrowBeforeItIsShownSound() {
    run(1_000);
    answers("v1", 100, OutcomeSample.answered(10));
    answers(12, OutcomeSample.answered(10));
    answers(4, OutcomeSample.answered(80));
    run(23_000);
    assertThat(order.progress().state()).isEqualTo(State.IN_PROGRESS);
    assertThat(order.progress().share()).isAtMost(0.15);
    answers(40, OutcomeSample.answered(10));
    run(1_000);
    assertThat(order.progress().state()).isEqualTo(State.COMPLETE);
  }

  @Test
  void badVersionIsRolledBackAtOnceAndPermanently() {
    run(1_000);
    answers(20, OutcomeSample.failed());
    run(1_000);
    assertThat(order.progress().state()).isEqualTo(State.ROLLED_BACK);
    int writes = writtenProgress.size();
    run(24_000);
    assertThat(writtenProgress).hasSize(writes);
  }

  @Test
  void statusThatTheStoreLostIsWrittenAgain() {
    run(1_000);
    answers(20, OutcomeSample.failed());
    run(1_000);
    order = new RolloutOrder("s", "v2", 24_000, 3, Progress.ordered());
    run(1_000);
    assertThat(order.progress().state()).isEqualTo(State.ROLLED_BACK);
    assertThat(writtenProgress.get(writtenProgress.size() - 1).state())
        .isEqualTo(State.ROLLED_BACK);
  }

  @Test
  void anotherNodeTakesOverWhenTheActiveNodeStops() {
    run(1_000);
    stoppedNodes.add(writers.get(0));
    answers(20, OutcomeSample.failed());
    run(3_000);
    assertThat(order.progress().state()).isEqualTo(State.ROLLED_BACK);
    assertThat(writers.get(1)).isNotEqualTo(writers.get(0));
  }

  @Test
  void rolloutCompletesInTimeAlthoughTheActiveNodeStops() {
    restart(0.0975);
    run(1_000);
    answers(20, OutcomeSample.answered(10));
    run(11_500);
    stoppedNodes.add(writers.get(0));
    run(11_500);
    assertThat(order.progress().state()).isEqualTo(State.COMPLETE);
  }

  @Test
  void writeWithStaleStoreVersionIsRejected() {
    run(1_000);
    RolloutOrder seen = order;
    assertThat(write("late", seen.storeVersion() - 1, new Progress(State.COMPLETE, 1))).isNotNull();
    assertThat(order).isEqualTo(seen);
  }

  @Test
  void restartedNodeContinuesFromTheStoredStage() {
    order = new RolloutOrder("s", "v2", 24_000, 9, new Progress(State.IN_PROGRESS, 1));
    NODES.forEach(this::deliverOrder);
    answers(20, OutcomeSample.answered(10));
    run(6_000);
    assertThat(order.progress().state()).isEqualTo(State.COMPLETE);
  }

  /** Membership in which one node sees all nodes. */
  private record FixedMembership(NodeId id) implements Membership {
    private static NodeRecord record(String name) {
      return NodeRecord.newBuilder().setId(NodeId.newBuilder().setName(name)).build();
    }

    @Override
    public NodeRecord self() {
      return record(id.getName());
    }

    @Override
    public List<NodeRecord> live() {
      return NODES.stream().map(FixedMembership::record).toList();
    }

    @Override
    public List<NodeRecord> entryNodes() {
      return live();
    }

    @Override
    public Optional<NodeRecord> find(String name) {
      return Optional.of(record(name));
    }

    @Override
    public boolean isGone(NodeId other) {
      return false;
    }
  }
}
