package org.currantslip.core.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.currantslip.core.reach.PathState;
import org.currantslip.core.relay.RelayFleet.Node;
import org.currantslip.core.relay.RelayFleet.Sent;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests a fleet of which a failure domain loses its path to endpoints. */
final class RelayFleetTest {
  private static final int NODES = 90;
  private static final long CONTACT_MS = 4_000;
  private static final List<String> PATHS =
      List.of(
          RelayFleet.SAFE,
          RelayFleet.SAFE,
          RelayFleet.STREAM,
          RelayFleet.STREAM,
          RelayFleet.UNSAFE);

  private final RelayFleet fleet = new RelayFleet(NODES, ImmutableSet.of());
  private final Random random = new Random(1);

  /** Sends each node about six requests a second. */
  private void traffic(long ms) {
    for (long i = 0; i < ms; i += 2) {
      fleet.nodes.get(random.nextInt(NODES)).send(PATHS.get(random.nextInt(PATHS.size())));
      fleet.run(2);
    }
  }

  private static List<Sent> firstTries(List<Node> nodes, long fromMs, long toMs) {
    return nodes.stream()
        .flatMap(n -> n.sent.stream())
        .filter(s -> s.sentMs >= fromMs && s.sentMs < toMs)
        .toList();
  }

  /** Guards against callers that are refused for as long as their node is cut off. */
  @ParameterizedTest
  @EnumSource(names = {"REFUSED", "HANGING", "SILENT"})
  void servesCallersOfNodesThatAreCutOff(RelayFleet.Cut cut) {
    List<Node> cutOff =
        IntStream.range(0, NODES - 2).filter(i -> i % 4 == 0).mapToObj(fleet.nodes::get).toList();
    traffic(1_000);
    cutOff.forEach(n -> n.cut = cut);
    traffic(CONTACT_MS);
    final long fromMs = fleet.clock.nowMs();
    traffic(6_000);
    final long toMs = fleet.clock.nowMs();
    cutOff.forEach(n -> n.cut = RelayFleet.Cut.NONE);
    traffic(6_000);
    fleet.run(3_500);

    List<Sent> tries = firstTries(cutOff, fromMs, toMs);
    long failed = tries.stream().filter(s -> !s.isServed()).count();
    assertThat(cutOff).hasSize(22);
    assertThat(tries.size()).isGreaterThan(600);
    assertThat(failed).isAtMost(10 + tries.size() / 50);
    assertThat(cutOff.stream().filter(n -> n.reach.state() != PathState.REACHING).count())
        .isEqualTo(0);
    assertThat(fleet.nodes.stream().mapToInt(n -> n.server.openCount()).sum()).isEqualTo(0);
  }

  /** Most of a small fleet, and most of each failure domain of a larger one, cut off twice. */
  @ParameterizedTest
  @CsvSource({
    "6, 4, REFUSED",
    "6, 4, HANGING",
    "6, 4, RESET",
    "6, 4, DEAF",
    "24, 18, REFUSED",
    "24, 18, HANGING",
    "24, 18, RESET",
    "24, 18, DEAF"
  })
  void servesCallersWhileMostNodesAreCutOff(int nodeCount, int cutCount, RelayFleet.Cut cut) {
    assertServedWhileCutOffTwice(nodeCount, cutCount, cut);
  }

  /** Open streams live on, so that they hide that new calls are not answered. */
  @ParameterizedTest
  @CsvSource({"6, 4", "24, 18"})
  @Tag("known-red")
  void servesCallersWhileNewCallsOfMostNodesAreSilent(int nodeCount, int cutCount) {
    assertServedWhileCutOffTwice(nodeCount, cutCount, RelayFleet.Cut.SILENT);
  }

  private void assertServedWhileCutOffTwice(int nodeCount, int cutCount, RelayFleet.Cut cut) {
    RelayFleet most = new RelayFleet(nodeCount, ImmutableSet.of());
    List<Node> cutOff = most.nodes.subList(0, cutCount);
    trafficWithLongStreams(most, 2_000);
    for (int round = 0; round < 2; round++) {
      cutOff.forEach(n -> n.setCut(cut));
      trafficWithLongStreams(most, CONTACT_MS);
      final long fromMs = most.clock.nowMs();
      trafficWithLongStreams(most, 12_000 - CONTACT_MS);
      final long toMs = most.clock.nowMs();
      cutOff.forEach(n -> n.setCut(RelayFleet.Cut.NONE));
      trafficWithLongStreams(most, 9_000);
      List<Sent> tries =
          firstTries(cutOff, fromMs, toMs).stream().filter(s -> s.end != null).toList();
      long failed = tries.stream().filter(s -> !s.isServed()).count();
      assertThat(tries.size()).isGreaterThan(150);
      assertThat(failed).isAtMost(10 + tries.size() / 50);
    }
  }

  /** Sends each node about six requests a second, one in ten of them a stream of 20 s. */
  private void trafficWithLongStreams(RelayFleet target, long ms) {
    int count = target.nodes.size();
    for (long i = 0; i < ms; i++) {
      if (random.nextInt(1_000) < 6 * count) {
        boolean isLong = random.nextInt(10) == 0;
        target
            .nodes
            .get(random.nextInt(count))
            .send(isLong ? RelayFleet.LONG_STREAM : PATHS.get(random.nextInt(PATHS.size())));
      }
      target.run(1);
    }
  }
}
