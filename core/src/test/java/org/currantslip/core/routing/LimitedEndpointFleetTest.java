package org.currantslip.core.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LimitedEndpointFleetTest {
  private static final long SPAN_MS = 4_000;

  /** Time after the first response with a limit within which the fleet must keep to it. */
  private static final long CONTACT_MS = 3_000;

  /** Bound of the platform's rule: one and a half times the limit, and five requests. */
  private static int allowed(double limitPerS) {
    return (int) (1.5 * limitPerS * SPAN_MS / 1_000 + 5);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 2, 1",
    "1, 0.5, 13",
    "6, 2, 1",
    "6, 2.5, 2",
    "6, 0.5, 3",
    "6, 0, 4",
    "6, 30, 5",
    "24, 2.1, 6",
    "78, 2, 7",
    "78, 2.5, 8",
    "78, 0.2, 9",
    "78, 10, 10",
    "420, 2, 11",
    "420, 40, 12"
  })
  void fleetKeepsToTheRequestLimitOfAnEndpoint(int nodes, double limitPerS, long seed) {
    LimitedEndpointFleet fleet = LimitedEndpointFleet.play(nodes, limitPerS, seed);
    long fromMs = LimitedEndpointFleet.LIMIT_FROM_MS + CONTACT_MS;

    assertThat(fleet.mostCounted(fromMs, SPAN_MS)).isAtMost(allowed(limitPerS));
    boolean isLimitReached = fleet.fairSharePerS() >= 1.5 * limitPerS;
    if (isLimitReached) {
      assertThat(fleet.sentPerS(fromMs, LimitedEndpointFleet.LIMIT_UNTIL_MS))
          .isAtLeast(0.8 * limitPerS);
    }
    assertThat(
            fleet.sentPerS(
                LimitedEndpointFleet.LIMIT_UNTIL_MS + CONTACT_MS, LimitedEndpointFleet.END_MS))
        .isAtLeast(0.5 * fleet.fairSharePerS());
  }
}
