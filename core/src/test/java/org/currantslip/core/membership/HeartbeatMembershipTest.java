package org.currantslip.core.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

final class HeartbeatMembershipTest {
  private static final long SETTLE_MS = 4_000;
  private static final long DEAD_MS = 8_000;
  private static final long GONE_MS = 45_000;

  private static FakeFleet settledFleet(int count) {
    FakeFleet fleet = FakeFleet.ofSize(count);
    fleet.run(SETTLE_MS);
    return fleet;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 6, 24})
  void everyNodeSeesAllNodes(int count) {
    FakeFleet fleet = settledFleet(count);

    List<String> names = fleet.memberships().stream().map(m -> m.self().getId().getName()).toList();
    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.live(node)).isEqualTo(names);
      assertThat(FakeFleet.entries(node)).isEqualTo(names);
      assertThat(node.isJoined()).isTrue();
    }
  }

  /**
   * Starting nodes used to read their own record before each write and to list their peers thrice.
   */
  @Test
  void startOfFleetCostsFewStoreCalls() {
    int count = 24;
    FakeFleet fleet = settledFleet(count);

    assertThat(fleet.store.writes()).isAtMost(2 * count);
    assertThat(fleet.store.reads()).isAtMost(2 * count);
  }

  @Test
  void killedNodesAreNotLiveAndAreGoneOnlyAfterTheStoredMark() {
    FakeFleet fleet = settledFleet(24);

    fleet.kill("n007");
    fleet.run(DEAD_MS);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.live(node)).doesNotContain("n007");
      assertThat(node.isGone(FakeFleet.id("n007", 1))).isFalse();
    }

    fleet.run(GONE_MS);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(node.isGone(FakeFleet.id("n007", 1))).isTrue();
      assertThat(node.isGone(FakeFleet.id("n007", 2))).isFalse();
    }
  }

  @Test
  void silenceAloneDoesNotMarkNodesGone() {
    FakeFleet fleet = settledFleet(6);

    fleet.store.setUnavailable(true);
    fleet.kill("n003");
    fleet.run(2 * GONE_MS);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.live(node)).doesNotContain("n003");
      assertThat(node.isGone(FakeFleet.id("n003", 1))).isFalse();
    }
  }

  @Test
  void joinRecordThatTheStoreLostIsWrittenAgain() {
    FakeFleet fleet = settledFleet(6);
    fleet.store.deleteDirectly("node/n003");

    fleet.memberships().forEach(HeartbeatMembership::onStoreRestored);
    fleet.run(SETTLE_MS);

    assertThat(fleet.store.listDirectly("node/")).hasSize(6);
    fleet.memberships().forEach(n -> assertThat(FakeFleet.live(n)).contains("n003"));
  }

  @Test
  void restartsAtTheSameAddressAreSeenAsNewIncarnations() {
    FakeFleet fleet = settledFleet(6);

    fleet.kill("n002");
    fleet.start("n002", 2);
    fleet.run(SETTLE_MS);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(node.isGone(FakeFleet.id("n002", 1))).isTrue();
      assertThat(node.isGone(FakeFleet.id("n002", 2))).isFalse();
      assertThat(FakeFleet.live(node)).contains("n002");
    }
  }

  @Test
  void leavingNodesAreRemovedFromEntriesWithinTwoSecondsAndStayLive() {
    FakeFleet fleet = settledFleet(24);

    fleet.membershipOf("n005").startLeaving();
    fleet.run(2_000);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.entries(node)).doesNotContain("n005");
      assertThat(FakeFleet.live(node)).contains("n005");
    }
  }

  @Test
  void completedStopMarksTheIncarnationGone() {
    FakeFleet fleet = settledFleet(6);

    CompletableFuture<Void> marked = fleet.membershipOf("n004").markGone();
    fleet.run(2_000);
    fleet.kill("n004");

    assertThat(marked.isDone()).isTrue();
    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(node.isGone(FakeFleet.id("n004", 1))).isTrue();
    }
  }

  @Test
  void lostLinkBetweenTwoNodesKeepsBothLive() {
    FakeFleet fleet = settledFleet(6);

    fleet.network.setCut("n000", "n001", true);
    fleet.run(GONE_MS);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.live(node)).hasSize(6);
    }
  }

  @Test
  void nodesWithoutStoreAccessStayLive() {
    FakeFleet fleet = settledFleet(6);

    fleet.cutFromStore("n001", true);
    fleet.run(2 * GONE_MS);

    assertThat(FakeFleet.live(fleet.membershipOf("n001"))).hasSize(6);
    assertThat(FakeFleet.live(fleet.membershipOf("n002"))).contains("n001");
  }

  @Test
  void nodesMarkedGoneWhileFrozenDetectItAfterThaw() {
    FakeFleet fleet = settledFleet(6);

    fleet.freeze("n003");
    fleet.run(2 * GONE_MS);
    assertThat(fleet.membershipOf("n000").isGone(FakeFleet.id("n003", 1))).isTrue();
    fleet.thaw("n003");
    fleet.run(SETTLE_MS);

    assertThat(fleet.membershipOf("n003").supersededBy().map(NodeRecord::getState))
        .hasValue(NodeState.GONE);
  }

  @Test
  void nodesAreLiveAgainAfterShortFreezes() {
    FakeFleet fleet = settledFleet(6);

    fleet.freeze("n003");
    fleet.run(DEAD_MS);
    assertThat(FakeFleet.live(fleet.membershipOf("n000"))).doesNotContain("n003");
    fleet.thaw("n003");
    fleet.run(DEAD_MS);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.live(node)).hasSize(6);
      assertThat(node.supersededBy()).isEmpty();
    }
  }

  @ParameterizedTest
  @EnumSource(StoreFault.class)
  void joinSucceedsDespiteEveryStoreFault(StoreFault fault) {
    FakeFleet fleet = new FakeFleet();
    fleet.store.inject(FakeObjectStore.Call.CREATE, "node/n000", fault);

    HeartbeatMembership node = fleet.start("n000", 1);
    fleet.run(FakeObjectStore.LATE_EFFECT_DELAY_MS + 2 * DEAD_MS);

    assertWithMessage(fault.name()).that(node.isJoined()).isTrue();
    assertThat(node.supersededBy()).isEmpty();
    assertThat(fleet.store.listDirectly("node/")).hasSize(1);
  }

  @Test
  void partitionedNodesRejoinAfterThePartitionHeals() {
    FakeFleet fleet = settledFleet(12);
    Set<String> isolated = Set.of("n000", "n004", "n008");

    fleet.network.setLossPlan(
        (from, to, frame) -> isolated.contains(from) != isolated.contains(to));
    fleet.run(2 * DEAD_MS);
    assertThat(FakeFleet.live(fleet.membershipOf("n000"))).containsExactlyElementsIn(isolated);
    fleet.network.setLossPlan((from, to, frame) -> false);
    fleet.run(2 * DEAD_MS);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.live(node)).hasSize(12);
    }
  }

  @Test
  void partitionedNodesWithStoreAccessAreNeverMarkedGone() {
    FakeFleet fleet = settledFleet(12);
    Set<String> isolated = Set.of("n000", "n004", "n008");

    fleet.network.setLossPlan(
        (from, to, frame) -> isolated.contains(from) != isolated.contains(to));
    fleet.run(5 * 60_000);

    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(node.supersededBy()).isEmpty();
      assertThat(node.isGone(FakeFleet.id("n000", 1))).isFalse();
      assertThat(node.isGone(FakeFleet.id("n001", 1))).isFalse();
    }
    fleet.network.setLossPlan((from, to, frame) -> false);
    fleet.run(2 * DEAD_MS);
    for (HeartbeatMembership node : fleet.memberships()) {
      assertThat(FakeFleet.live(node)).hasSize(12);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {6, 24, 102, 420})
  void heartbeatTargetsAreBoundedAndCoverEveryNode(int count) {
    MembershipOptions options = MembershipOptions.of(500, 2_500);
    List<NodeRecord> nodes =
        java.util.stream.IntStream.range(0, count)
            .mapToObj(
                i ->
                    NodeRecord.newBuilder()
                        .setId(FakeFleet.id(FakeFleet.nameOf(i), 1))
                        .setFailureDomain("d" + i % 17)
                        .build())
            .toList();

    Map<String, Integer> monitorCounts = new HashMap<>();
    for (NodeRecord node : nodes) {
      Set<String> targets = HeartbeatRing.targets(node, nodes, options);
      assertThat(targets.size()).isAtMost(options.domainTargets() + options.ringTargets());
      targets.forEach(name -> monitorCounts.merge(name, 1, Integer::sum));
    }

    nodes.forEach(
        n -> assertThat(monitorCounts.get(n.getId().getName())).isAtLeast(options.ringTargets()));
  }
}
