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
    // A fault that affects both versions halts neither.
    "25, 100, 250, 1000, false",
    "60, 100, 250, 1000, true",
    "2, 100, 10, 1000, false"
  })
  void comparesWithTheOldVersionInTheSamePeriod(
      long bad, long total, long oldBad, long oldTotal, boolean worse) {
    assertThat(VersionComparison.isWorse(bad, total, oldBad, oldTotal)).isEqualTo(worse);
  }
}
