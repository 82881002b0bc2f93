package org.currantslip.core.rollout;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class VersionComparisonTest {
  @ParameterizedTest
  @CsvSource({
    "0, 100, 0, 100, false",
    "1, 10, 0, 500, false",
    "4, 8, 0, 500, true",
    "50, 100, 0, 0, true",
    // Trouble that meets both versions stops neither.
    "25, 100, 250, 1000, false",
    "60, 100, 250, 1000, true",
    "2, 100, 10, 1000, false"
  })
  void isWorseOnlyThanTheOldVersionAtTheSameTime(
      long bad, long all, long oldBad, long oldAll, boolean worse) {
    assertThat(VersionComparison.isWorse(bad, all, oldBad, oldAll)).isEqualTo(worse);
  }
}
