package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a fleet that crashes brittle endpoints by requests that find no room. */
final class BrittleFleetTest {
  private static final long SPAN_MS = 12_000;

  @ParameterizedTest
  @CsvSource({
    "6, 7, 2, 1",
    "6, 5, 5, 2",
    "23, 7, 2, 3",
    "23, 5, 5, 4",
    "90, 7, 2, 5",
    "90, 5, 5, 6"
  })
  void overloadedFleetUsesRoomWithoutRefusals(int nodes, int endpoints, double perS, long seed) {
    BrittleFleet fleet = BrittleFleet.of(nodes, endpoints, perS, 2, seed);
    fleet.run(BrittleFleet.CONTACT_MS + 500);
    long busyMs = fleet.busyMs();
    fleet.run(SPAN_MS);
    assertThat((double) fleet.mostRefused()).isLessThan(perS);
    assertThat((double) (fleet.busyMs() - busyMs) / fleet.slotsMs(SPAN_MS)).isAtLeast(0.8);
  }

  /** The slots of the keeper's endpoints are not lent anew as long as it may still have them. */
  @ParameterizedTest
  @CsvSource({"6, 2, 1", "23, 2, 2", "90, 2, 3"})
  void lossOfNodesLeavesTheOtherEndpointsInUse(int nodes, double perS, long seed) {
    BrittleFleet fleet = BrittleFleet.of(nodes, 7, perS, 2, seed);
    fleet.run(BrittleFleet.CONTACT_MS + 500);
    fleet.kill("n001");
    fleet.run(SPAN_MS);
    assertThat((double) fleet.mostRefused()).isLessThan(perS);
  }

  @ParameterizedTest
  @CsvSource({"23, 2, 1", "90, 2, 2"})
  void quietFleetServesAsBefore(int nodes, double perS, long seed) {
    BrittleFleet fleet = BrittleFleet.of(nodes, 7, perS, 0.25, seed);
    fleet.run(BrittleFleet.CONTACT_MS + 500);
    long busyMs = fleet.busyMs();
    fleet.run(SPAN_MS);
    assertThat((double) fleet.mostRefused()).isLessThan(perS);
    assertThat((double) (fleet.busyMs() - busyMs) / fleet.slotsMs(SPAN_MS)).isAtLeast(0.23);
  }
}
