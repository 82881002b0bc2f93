package org.currantslip.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.Range;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.rollout.RolloutOrder.Progress;
import org.currantslip.core.rollout.RolloutOrder.State;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.OutcomeCount;
import org.currantslip.schema.OutcomeReport;
import org.currantslip.schema.VersionHalt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class ServiceRolloutsTest {
  private static final int ROUTES = 5;
  private static final int MEASURED_REPORTS = 50;

  private final List<VersionHalt> halts = new ArrayList<>();
  private final ServiceRollouts rollouts =
      ServiceRollouts.create(NodeId.newBuilder().setName("n").build(), halts::add);

  private static RolloutOrder order(State state, double share) {
    return new RolloutOrder("s", "v2", 24_000, 7, new Progress(state, share));
  }

  private void progress(State state, double share) {
    rollouts.onOrders(List.of(order(state, share)));
  }

  private void outcomes(String version, int count, OutcomeSample sample) {
    IntStream.range(0, count).forEach(i -> rollouts.onOutcome("s", version, "r", sample));
  }

  @BeforeEach
  void endpoints() {
    rollouts.onEndpoints(
        Stream.of("v1", "v2")
            .map(v -> EndpointRecord.newBuilder().setService("s").setVersion(v).build())
            .toList());
  }

  private static OutcomeReport reportOf(int node, int answers) {
    OutcomeReport.Builder report =
        OutcomeReport.newBuilder().setNode(NodeId.newBuilder().setName("n" + node));
    for (String version : List.of("v1", "v2")) {
      IntStream.range(0, ROUTES)
          .mapToObj(route -> OutcomeCount.newBuilder().setRoute("r" + route))
          .forEach(c -> report.addCount(c.setService("s").setVersion(version).setGood(answers)));
    }
    return report.build();
  }

  /** Returns the mean number of bytes that one report allocates in a fleet of this size. */
  private long bytesPerReport(int nodes) {
    progress(State.IN_PROGRESS, 0.1);
    IntStream.range(0, nodes).forEach(n -> rollouts.onReport(reportOf(n, 1)));
    OutcomeReport report = reportOf(0, 2);
    ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long before = threads.getCurrentThreadAllocatedBytes();
    IntStream.range(0, MEASURED_REPORTS).forEach(i -> rollouts.onReport(report));
    return (threads.getCurrentThreadAllocatedBytes() - before) / MEASURED_REPORTS;
  }

  /** Allocated bytes stand for work, since they do not depend on the speed of the machine. */
  @Test
  void workOfReportDoesNotGrowWithTheFleet() {
    long bytesInSmallFleet = bytesPerReport(6);
    assertThat(bytesPerReport(420)).isLessThan(2 * bytesInSmallFleet);
  }

  @Test
  void anyVersionIsAllowedWithoutAnOrder() {
    assertThat(rollouts.versionsFor("s", "k", "r")).containsExactly("");
  }

  @Test
  void newVersionGetsNoRequestsBeforeTheFirstStageOrAfterRollback() {
    for (State state : List.of(State.ORDERED, State.ROLLED_BACK)) {
      progress(state, 0);
      assertThat(rollouts.versionsFor("s", "k", "r")).containsExactly("v1");
    }
  }

  @Test
  void growingShareMovesNoSessionBack() {
    List<String> keys = IntStream.range(0, 2_000).mapToObj(i -> "session" + i).toList();
    progress(State.IN_PROGRESS, 0.09);
    List<String> early = keys.stream().filter(this::isNew).toList();
    progress(State.IN_PROGRESS, 0.5);
    List<String> later = keys.stream().filter(this::isNew).toList();
    assertThat(early.size()).isIn(Range.closed(130, 230));
    assertThat(later.size()).isIn(Range.closed(900, 1_100));
    assertThat(later).containsAtLeastElementsIn(early);
    progress(State.COMPLETE, 1);
    assertThat(keys.stream().allMatch(this::isNew)).isTrue();
  }

  private boolean isNew(String key) {
    return rollouts.versionsFor("s", key, "r").get(0).equals("v2");
  }

  @Test
  void badVersionIsHaltedAfterFewAnswers() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v1", 50, OutcomeSample.answered(10));
    int bad = 0;
    while (halts.isEmpty() && bad < 50) {
      outcomes("v2", 1, OutcomeSample.answered(10));
      outcomes("v2", 1, OutcomeSample.failed());
      bad++;
    }
    assertThat(bad).isAtMost(6);
    assertThat(rollouts.versionsFor("s", "k", "r")).containsExactly("v1");
  }

  @Test
  void slowVersionIsHalted() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v1", 50, OutcomeSample.answered(10));
    outcomes("v2", 10, OutcomeSample.answered(80));
    assertThat(halts).hasSize(1);
  }

  @Test
  void versionWithSlowFirstEventsIsHaltedBeforeItsStreamsEnd() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v1", 50, OutcomeSample.firstEvent("m", 1.2));
    outcomes("v2", 4, OutcomeSample.firstEvent("m", 8));
    assertThat(halts).hasSize(1);
  }

  @Test
  void slowAnswersOfBothVersionsHaltNeither() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v1", 50, OutcomeSample.answered(10));
    for (int i = 0; i < 100; i++) {
      outcomes("v1", 8, OutcomeSample.answered(10));
      outcomes("v1", 2, OutcomeSample.answered(200));
      outcomes("v2", 4, OutcomeSample.answered(10));
      outcomes("v2", 1, OutcomeSample.answered(200));
    }
    assertThat(halts).isEmpty();
  }

  @Test
  void paceIsComparedPerModelSize() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v1", 20, OutcomeSample.answered("small", 10));
    outcomes("v1", 20, OutcomeSample.answered("large", 100));
    outcomes("v2", 20, OutcomeSample.answered("large", 100));
    assertThat(halts).isEmpty();
  }

  @Test
  void reportHoldsOnlyChangedCounts() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v1", 20, OutcomeSample.answered(10));
    assertThat(rollouts.report()).isPresent();
    assertThat(rollouts.report()).isEmpty();
    outcomes("v2", 1, OutcomeSample.failed());
    assertThat(rollouts.report().orElseThrow().getCountList()).hasSize(1);
  }

  @Test
  void requestsWithoutSessionMoveBeforeSessions() {
    rollouts.onOrders(
        List.of(new RolloutOrder("s", "v2", 24_000, 7, new Progress(State.IN_PROGRESS, 0.5, 0))));
    List<String> ids = IntStream.range(0, 2_000).mapToObj(i -> "r" + i).toList();
    long moved =
        ids.stream().filter(i -> rollouts.versionsFor("s", "", i).get(0).equals("v2")).count();
    assertThat(moved).isIn(Range.closed(900L, 1_100L));
    assertThat(ids.stream().noneMatch(this::isNew)).isTrue();
  }

  @Test
  void orderThatTheStoreLostStaysInForce() {
    progress(State.ROLLED_BACK, 0);
    rollouts.onOrders(List.of(), true);
    assertThat(rollouts.versionsFor("s", "k", "r")).containsExactly("v1");
    rollouts.onOrders(List.of(order(State.ORDERED, 0)), true);
    assertThat(rollouts.versionsFor("s", "k", "r")).containsExactly("v1");
    rollouts.onOrders(List.of(), false);
    assertThat(rollouts.versionsFor("s", "k", "r")).containsExactly("");
  }

  @Test
  void storedProgressThatWentBackIsIgnored() {
    progress(State.IN_PROGRESS, 0.5);
    progress(State.IN_PROGRESS, 0.09);
    assertThat(rollouts.reached("s")).isEqualTo(new Progress(State.IN_PROGRESS, 0.5));
    progress(State.ROLLED_BACK, 0);
    progress(State.IN_PROGRESS, 0.09);
    assertThat(rollouts.versionsFor("s", "k", "r")).containsExactly("v1");
  }

  @Test
  void versionThatIsBadOnOneRouteOnlyIsHalted() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v1", 500, OutcomeSample.answered(10));
    outcomes("v2", 200, OutcomeSample.answered(10));
    IntStream.range(0, 5)
        .forEach(i -> rollouts.onOutcome("s", "v2", "other", OutcomeSample.failed()));
    assertThat(halts).hasSize(1);
  }

  @Test
  void faultInBothVersionsHaltsNeither() {
    progress(State.IN_PROGRESS, 0.09);
    for (int i = 0; i < 100; i++) {
      outcomes("v1", 9, OutcomeSample.answered(10));
      outcomes("v1", 3, OutcomeSample.failed());
      outcomes("v2", 3, OutcomeSample.answered(10));
      outcomes("v2", 1, OutcomeSample.failed());
    }
    assertThat(halts).isEmpty();
  }

  @Test
  void peerEvidenceCounts() {
    ServiceRollouts peer =
        ServiceRollouts.create(NodeId.newBuilder().setName("p").build(), h -> {});
    for (ServiceRollouts r : List.of(peer, rollouts)) {
      r.onOrders(List.of(order(State.IN_PROGRESS, 0.09)));
    }
    IntStream.range(0, 3)
        .forEach(
            i -> {
              peer.onOutcome("s", "v2", "r", OutcomeSample.failed());
              rollouts.onOutcome("s", "v2", "r", OutcomeSample.failed());
            });
    rollouts.onReport(peer.report().orElseThrow());
    assertThat(halts).hasSize(1);
  }

  @Test
  void newOrderStartsWithoutEvidenceOfThePreviousOne() {
    progress(State.IN_PROGRESS, 0.09);
    outcomes("v2", 10, OutcomeSample.failed());
    assertThat(rollouts.isHalted("s")).isTrue();
    rollouts.onOrders(
        List.of(new RolloutOrder("s", "v3", 24_000, 9, new Progress(State.IN_PROGRESS, 0.09))));
    assertThat(rollouts.isHalted("s")).isFalse();
  }
}
