package org.currantslip.core.start;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Optional;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.start.WarmUpPolicy.End;
import org.currantslip.core.start.WarmUpPolicy.Surroundings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class WarmUpPolicyTest {
  private static final long MAX_MS = 9_000;
  private static final Surroundings FIRST_START = new Surroundings(true, 0, false);

  private final ManualClock clock = ManualClock.startingAt(1_000);

  /** Guards against a warm-up that keeps callers waiting beyond the recovery time. */
  @ParameterizedTest
  @CsvSource({
    "true, 0, false, 9000, ELAPSED_LIMIT",
    "true, 3, true, 9000, ELAPSED_LIMIT",
    "true, 0, true, 0, CALLERS_WAIT",
    "false, 3, false, 3000, ELAPSED_LIMIT",
    "false, 3, true, 3000, ELAPSED_LIMIT",
    "false, 0, false, 0, ELAPSED_LIMIT",
    "false, 0, true, 0, CALLERS_WAIT",
  })
  void endsAtTimeLimit(
      boolean firstStart, int servingPeers, boolean callersWait, long expectedMs, End expected) {
    Surroundings surroundings = new Surroundings(firstStart, servingPeers, callersWait);
    WarmUpPolicy policy = WarmUpPolicy.begin(clock, MAX_MS, 700);
    while (policy.end(surroundings, 700).isEmpty()) {
      clock.advance(50);
    }
    assertThat(policy.end(surroundings, 700)).hasValue(expected);
    assertThat(policy.elapsedMs()).isEqualTo(expectedMs);
  }

  /** Guards against a warm-up that goes on after the last other node was lost. */
  @Test
  void endsSoonAfterTheOtherNodesAreLost() {
    WarmUpPolicy policy = WarmUpPolicy.begin(clock, MAX_MS, 0);
    clock.advance(1_000);
    assertThat(policy.end(new Surroundings(false, 2, false), 0)).isEmpty();
    assertThat(policy.end(new Surroundings(false, 0, false), 0)).hasValue(End.ELAPSED_LIMIT);
  }

  /** Guards against a warm-up that uses the processor longer than its share. */
  @ParameterizedTest
  @CsvSource({"true, 0, 2500", "false, 1, 1200"})
  void endsAtProcessorLimit(boolean firstStart, int servingPeers, long expectedMs) {
    WarmUpPolicy policy = WarmUpPolicy.begin(clock, MAX_MS, 700);
    Surroundings surroundings = new Surroundings(firstStart, servingPeers, false);
    assertThat(policy.end(surroundings, 700 + expectedMs - 1)).isEmpty();
    assertThat(policy.end(surroundings, 700 + expectedMs)).hasValue(End.PROCESSOR_LIMIT);
  }

  /** Guards against a warm-up that goes on without effect, or ends while calls get cheaper. */
  @Test
  void endsOnceRoundsAreNoLongerCheaper() {
    WarmUpPolicy policy = WarmUpPolicy.begin(clock, MAX_MS, 0);
    long[] costsMs = new long[60];
    Arrays.setAll(costsMs, i -> Math.max(10, 90 - 3 * i));
    long processorMs = 0;
    int rounds = 0;
    while (policy.end(FIRST_START, processorMs).isEmpty()) {
      processorMs += costsMs[rounds++];
      policy.onRound(processorMs);
    }
    assertThat(policy.end(FIRST_START, processorMs)).hasValue(End.SETTLED);
    assertThat(rounds).isEqualTo(34);
  }

  /** Guards against a change of deployments that do not ask for a warm-up. */
  @Test
  void doesNotBeginWithoutSetting() {
    assertThat(WarmUpPolicy.begin(clock, 0, 0).end(FIRST_START, 0)).isEqualTo(Optional.of(End.OFF));
  }
}
