package org.currantslip.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a fleet whose endpoints crash under requests that share one prompt part. */
final class PromptCrashTest {
  private static final int NODES = 8;
  private static final int ENDPOINTS = 24;
  private static final long INTERVAL_MS = 10;
  private static final long CONTACT_MS = 3_000;
  private static final int CRASHES = 5;

  @Tag("known-red")
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void partThatCrashedFiveEndpointsReachesNoMore(long seed) {
    ForwardingFleet fleet = new ForwardingFleet(NODES, ENDPOINTS, seed);
    fleet.run(12_000, INTERVAL_MS, 0.06);
    assertThat(fleet.endpoints.crashTimesMs.size()).isAtLeast(CRASHES);
    long fifthCrashMs = fleet.endpoints.crashTimesMs.get(CRASHES - 1);
    assertThat(fleet.badArrivalsAfter(fifthCrashMs + CONTACT_MS)).isAtMost(3);
  }
}
