package org.currantslip.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class BadRateDetectorTest {
  private static BadRateDetector detector(double priorMassAtStart) {
    return BadRateDetector.create(
        0.03, new double[] {0.08, 0.20, 0.60}, 0.001, 200, priorMassAtStart);
  }

  @ParameterizedTest
  @CsvSource({"0, 4, true", "0, 2, false", "97, 3, false", "970, 30, false", "920, 80, true"})
  void raisesAlarmOnIncreasedRateOnly(long good, long bad, boolean alarm) {
    assertThat(detector(0.8).add(good, bad)).isEqualTo(alarm);
  }

  @Test
  void earlierGoodResultsDelayTheAlarmByFewAnswersOnly() {
    BadRateDetector detector = detector(0);
    detector.add(100_000, 3_000);
    int needed = 0;
    while (!detector.add(0, 1)) {
      needed++;
    }
    assertThat(needed).isAtMost(6);
  }

  @Test
  void keepsAlarm() {
    BadRateDetector detector = detector(0.8);
    detector.add(0, 10);
    assertThat(detector.add(1_000, 0)).isTrue();
  }
}
