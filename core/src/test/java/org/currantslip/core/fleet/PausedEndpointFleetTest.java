package org.currantslip.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.currantslip.core.fleet.ForwardingFleet.Setup;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a fleet whose endpoint sends nothing for a time and then goes on. */
final class PausedEndpointFleetTest {
  private static final long PAUSE_MS = 1_500;
  private static final long CALM_MS = 2_000;

  /** Exceeds the timeout of a request. */
  private static final long END_MS = 4_500;

  @ParameterizedTest
  @ValueSource(ints = {6, 23, 78})
  void noStreamOfPausedEndpointIsCut(int nodes) {
    ForwardingFleet fleet = new ForwardingFleet(Setup.alone(nodes), 1);
    fleet.runCalm(CALM_MS);
    fleet.endpoints.pause(0, PAUSE_MS);
    fleet.runCalm(PAUSE_MS);
    int sent = fleet.sent.size();
    fleet.runCalm(END_MS);
    assertThat(fleet.sent.values().stream().limit(sent).filter(s -> !s.isWhole()).count())
        .isEqualTo(0);
  }
}
