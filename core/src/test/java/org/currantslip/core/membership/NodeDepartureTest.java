package org.currantslip.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Nodes that are gone leave the answers of all nodes in time, in a fleet of 90 nodes. */
final class NodeDepartureTest {
  /** The options of edge nodes. */
  private static final MembershipOptions OPTIONS =
      MembershipOptions.of(600, 1_000).withSuspicionMs(1_500);

  private static final int NODES = 90;
  private static final int LATENCY_MS = 5;
  private static final long CONTACT_MS = 4_000;

  /** Time after which no gossip of a departure is under way any more. */
  private static final long QUIET_MS = 9_000;

  private final FakeFleet fleet = FakeFleet.ofSize(NODES, OPTIONS);

  private void settle(double loss, long seed) {
    Random random = new Random(seed);
    fleet.network.setLatencyMs(LATENCY_MS);
    fleet.run(4_000);
    fleet.network.setLossPlan((from, to, frame) -> random.nextDouble() < loss);
    fleet.run(2_000);
  }

  private long wrongAnswers(List<String> departed) {
    return fleet.memberships().stream()
        .mapToLong(m -> FakeFleet.entries(m).stream().filter(departed::contains).count())
        .sum();
  }

  /** Returns how many live nodes are missing in the answers of all nodes. */
  private long missingAnswers() {
    List<String> live = fleet.memberships().stream().map(m -> m.self().getId().getName()).toList();
    return fleet.memberships().stream()
        .mapToLong(m -> live.size() - FakeFleet.entries(m).stream().filter(live::contains).count())
        .sum();
  }

  /** Guards against dead nodes in answers, and live ones left out, while frames are lost. */
  @ParameterizedTest
  @CsvSource({"0.05, 1", "0.1, 2", "0.1, 3", "0.2, 4"})
  void killedNodesLeaveAllAnswers(double loss, long seed) {
    settle(loss, seed);
    List<String> killed =
        IntStream.range(0, 8).mapToObj(i -> FakeFleet.nameOf(5 + 11 * i)).toList();
    killed.forEach(fleet::kill);
    fleet.run(CONTACT_MS);
    for (long t = 0; t < QUIET_MS; t += 500) {
      assertThat(wrongAnswers(killed)).isEqualTo(0);
      assertThat(missingAnswers()).isEqualTo(0);
      fleet.run(500);
    }
  }

  /** Guards against a planned stop that some node does not learn of. */
  @Test
  void stoppedNodesLeaveAllAnswers() {
    settle(0.2, 4);
    List<String> stopped = IntStream.range(0, 20).mapToObj(FakeFleet::nameOf).toList();
    stopped.forEach(name -> fleet.membershipOf(name).startLeaving());
    fleet.run(CONTACT_MS);
    assertThat(wrongAnswers(stopped)).isEqualTo(0);
  }

  /** Guards against a node that takes dead nodes from the store, and tells others they are live. */
  @ParameterizedTest
  @ValueSource(longs = {800, 2_000, 6_000})
  void nodeThatStartsLaterDoesNotReviveDeadNodes(long startDelayMs) {
    settle(0.05, 5);
    List<String> killed = IntStream.range(0, 5).mapToObj(i -> FakeFleet.nameOf(7 * i)).toList();
    killed.forEach(fleet::kill);
    fleet.run(startDelayMs);
    fleet.start("n090", 1);
    fleet.run(CONTACT_MS);
    for (long t = 0; t < QUIET_MS; t += 500) {
      assertThat(wrongAnswers(killed)).isEqualTo(0);
      fleet.run(500);
    }
  }
}
