package org.currantslip.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.Collections;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.currantslip.core.fleet.ForwardingFleet.Setup;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests a fleet whose endpoints crash under requests that share one prompt part. */
final class PromptCrashTest {
  private static final long CONTACT_MS = 3_000;
  private static final long RUN_MS = 12_000;

  /** Covers the first trials. */
  private static final long LONG_RUN_MS = 40_000;

  private static final int CRASHES = 5;

  private static Stream<Arguments> setupsAndSeeds() {
    return LongStream.rangeClosed(1, 3)
        .boxed()
        .flatMap(
            seed ->
                Stream.of(
                    Arguments.of(Setup.large(), seed), Arguments.of(Setup.collapsing(), seed)));
  }

  private static long fifthCrashMs(ForwardingFleet fleet) {
    assertThat(fleet.endpoints.crashTimesMs.size()).isAtLeast(CRASHES);
    return fleet.endpoints.crashTimesMs.get(CRASHES - 1);
  }

  @ParameterizedTest
  @MethodSource("setupsAndSeeds")
  void partThatCrashedFiveEndpointsReachesNoMore(Setup setup, long seed) {
    ForwardingFleet fleet = new ForwardingFleet(setup, seed);
    fleet.run(LONG_RUN_MS);
    assertThat(fleet.badArrivalsAfter(fifthCrashMs(fleet) + CONTACT_MS)).isAtMost(3);
  }

  @ParameterizedTest
  @MethodSource("setupsAndSeeds")
  void soundPromptsWithTheSameAccountAndFirstPartStillBegin(Setup setup, long seed) {
    ForwardingFleet calm = new ForwardingFleet(setup, seed);
    calm.runCalm(3_000);
    double usualShare = calm.begunShare(r -> true, 0);
    ForwardingFleet fleet = new ForwardingFleet(setup, seed);
    fleet.run(RUN_MS);
    double share = fleet.begunShare(r -> !r.isBad(), fifthCrashMs(fleet) + 2 * CONTACT_MS);
    assertThat(share).isAtLeast(usualShare / 2);
  }

  @Test
  void requestsWithQuarantinedPartAreRefusedAsNotRun() {
    ForwardingFleet fleet = new ForwardingFleet(Setup.large(), 4);
    fleet.run(RUN_MS);
    long fromMs = fifthCrashMs(fleet) + CONTACT_MS;
    assertThat(
            fleet.sent.values().stream()
                .filter(r -> r.isBad() && r.sentMs() >= fromMs)
                .filter(r -> !r.isRefusedAsNotRun())
                .count())
        .isAtMost(3);
  }

  @Test
  void nodeThatWasCutOffGetsTheVerdictsWhenItsLinksOpen() {
    ForwardingFleet fleet = new ForwardingFleet(Setup.large(), 5);
    fleet.cutOff(0);
    fleet.run(3_000);
    fleet.runCalm(2_000);
    fleet.reconnect(0);
    fleet.runCalm(100);
    assertThat(fleet.quarantinedCounts()).isEqualTo(Collections.nCopies(Setup.large().nodes(), 1));
  }
}
