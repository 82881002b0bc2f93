package org.currantslip.core.cascade;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.currantslip.core.common.DrivenClock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.junit.jupiter.api.Test;

final class RatedCascadeTest {
  private static final double TARGET = 0.95;
  private static final double LOW_SHARE = 0.5;
  private static final Rule.Origin ORIGIN = new Rule.Origin(1, "rule", "workshop");
  private static final ConfigView CONFIG =
      new ConfigView(
          1,
          RuleSet.of(
              List.of(
                  new Rule.QualityTarget(ORIGIN, "*", "*", TARGET),
                  new Rule.Tier(ORIGIN, "*", "*", "small", 1),
                  new Rule.Tier(ORIGIN, "*", "*", "large", 2))));

  private final RatedCascade cascade = RatedCascade.create(DrivenClock.startingAt(1));

  /** Sends requests of which the small model answers well those of high confidence. */
  private int smallAnswers(int requests, double highShareGood, boolean rated) {
    int small = 0;
    for (int i = 0; i < requests; i++) {
      boolean high = i % 2 == 0;
      OptionalDouble confidence = OptionalDouble.of(high ? 0.97 : 0.2);
      boolean smallGood = high && i % 1000 < highShareGood * 1000;
      List<String> plan = cascade.plan(CONFIG, "a", "t");
      boolean bySmall =
          plan.contains("small") && cascade.accept(CONFIG, "a", "t", "small", confidence);
      small += bySmall ? 1 : 0;
      if (rated) {
        cascade.rated("a", "t", bySmall ? "small" : "large", confidence, !bySmall || smallGood);
      }
    }
    return small;
  }

  @Test
  void takesNoCheapAnswerWithoutRatings() {
    int small = smallAnswers(5_000, 1, false);
    assertThat(small).isLessThan(20);
  }

  @Test
  void takesCheapAnswersOnceRatedWell() {
    smallAnswers(20_000, 1, true);
    assertThat(smallAnswers(1_000, 1, true)).isAtLeast(450);
  }

  @Test
  void leavesTheCheapTierWhenItsAnswersTurnBad() {
    smallAnswers(20_000, 1, true);
    smallAnswers(6_000, 0, true);
    assertThat(smallAnswers(1_000, 0, true)).isLessThan((int) (1_000 * (1 - TARGET)));
  }

  @Test
  void holdsItsChoiceWhileRatingsAreOut() {
    smallAnswers(20_000, 1, true);
    smallAnswers(10_000, 1, false);
    long lowTaken =
        Stream.generate(() -> cascade.accept(CONFIG, "a", "t", "small", OptionalDouble.of(0.2)))
            .limit(2_000)
            .filter(taken -> taken)
            .count();
    double badShare = LOW_SHARE * lowTaken / 2_000;
    assertThat(badShare).isAtMost(1 - TARGET);
    assertThat(cascade.accept(CONFIG, "a", "t", "small", OptionalDouble.of(0.97))).isTrue();
  }

  @Test
  void alwaysEndsWithTheLastTier() {
    assertThat(cascade.plan(CONFIG, "a", "t")).contains("large");
    assertThat(cascade.accept(CONFIG, "a", "t", "large", OptionalDouble.empty())).isTrue();
  }
}
