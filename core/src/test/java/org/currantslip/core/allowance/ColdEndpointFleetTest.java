package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a fleet that floods a cold endpoint while its nodes see different fleets. */
final class ColdEndpointFleetTest {
  private static final int COLD_MS = 60_000;

  private static ColdEndpointFleet settledFleet(int nodes, double perS, double slack, long seed) {
    ColdEndpointFleet fleet = ColdEndpointFleet.of(nodes, perS, 1.5, slack, seed);
    fleet.run(ColdEndpointFleet.SETTLE_MS + 100);
    return fleet;
  }

  @ParameterizedTest
  @CsvSource({
    "6, 4, 5, 1",
    "23, 4, 5, 2",
    "90, 4, 5, 3",
    "420, 4, 5, 4",
    "90, 0.5, 5, 5",
    "90, 20, 5, 6",
    "90, 2, 0, 7",
    "90, 1, 0, 8",
    "6, 40, 5, 9"
  })
  void fleetUsesAllowanceAndNoMore(int nodes, double perS, double slack, long seed) {
    ColdEndpointFleet fleet = settledFleet(nodes, perS, slack, seed);
    final long fromMs = fleet.nowMs();
    fleet.becomeCold(COLD_MS);
    fleet.run(20_000);
    assertThat((double) fleet.mostInOneSecond()).isAtMost(1.5 * perS + slack);
    assertThat(fleet.sentPerS(fromMs, fleet.nowMs())).isAtLeast(0.8 * Math.min(perS, 1.5 * perS));
  }

  @ParameterizedTest
  @CsvSource({"6, 1", "23, 2", "90, 3", "420, 4"})
  void boundHoldsWhileNodesSeeDifferentFleets(int nodes, long seed) {
    ColdEndpointFleet fleet = settledFleet(nodes, 4, 5, seed);
    fleet.becomeCold(COLD_MS);
    fleet.run(2_000);
    fleet.cut();
    fleet.run(5_000);
    fleet.kill(fleet.names().get(0));
    fleet.kill(fleet.names().get(1));
    fleet.names().stream().limit(nodes / 3).forEach(n -> fleet.pause(n, 4_000));
    fleet.run(5_000);
    fleet.start("n000");
    fleet.start("x1");
    fleet.run(8_000);
    fleet.heal();
    fleet.start("x2");
    fleet.run(10_000);
    fleet.names().stream().limit(nodes / 3).forEach(n -> fleet.pause(n, 12_000));
    fleet.run(20_000);
    assertThat(fleet.mostInOneSecond()).isAtMost(11);
  }

  @ParameterizedTest
  @CsvSource({"6, 1", "90, 2"})
  void endpointThatTurnsColdAgainIsProtectedAgain(int nodes, long seed) {
    ColdEndpointFleet fleet = settledFleet(nodes, 4, 5, seed);
    fleet.becomeCold(4_000);
    fleet.run(2_900);
    fleet.becomeCold(0);
    fleet.run(500);
    fleet.becomeCold(COLD_MS);
    fleet.run(10_000);
    assertThat(fleet.mostInOneSecond()).isAtMost(11);
  }
}
