package org.currantslip.core.cascade;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.junit.jupiter.api.Test;

final class RatedCascadeTest {
  private static final double TARGET = 0.95;
  private static final double LOW_CONFIDENCE_SHARE = 0.5;
  private static final Rule.Origin ORIGIN = new Rule.Origin(1, "rule", "operator");
  private static final ConfigView CONFIG =
      new ConfigView(
          1,
          RuleSet.of(
              List.of(
                  new Rule.QualityTarget(ORIGIN, "*", "*", TARGET),
                  new Rule.Tier(ORIGIN, "*", "*", "small", 1),
                  new Rule.Tier(ORIGIN, "*", "*", "large", 2))));

  private final RatedCascade cascade = RatedCascade.create(ManualClock.startingAt(1));

  /**
   * Sends requests of which the small model answers only those of high confidence well, and returns
   * how many of its answers were accepted.
   */
  private int countSmallAnswers(int requests, double highConfidenceGoodShare, boolean rated) {
    int smallAnswers = 0;
    for (int i = 0; i < requests; i++) {
      boolean highConfidence = i % 2 == 0;
      OptionalDouble confidence = OptionalDouble.of(highConfidence ? 0.97 : 0.2);
      boolean smallIsGood = highConfidence && i % 1000 < highConfidenceGoodShare * 1000;
      List<String> plan = cascade.plan(CONFIG, "a", "t");
      boolean answeredBySmall =
          plan.contains("small") && cascade.accept(CONFIG, "a", "t", "small", confidence);
      smallAnswers += answeredBySmall ? 1 : 0;
      if (rated) {
        cascade.onRated(
            "a",
            "t",
            answeredBySmall ? "small" : "large",
            confidence,
            !answeredBySmall || smallIsGood);
      }
    }
    return smallAnswers;
  }

  @Test
  void acceptsNoCheapAnswerWithoutRatings() {
    int smallAnswers = countSmallAnswers(5_000, 1, false);
    assertThat(smallAnswers).isLessThan(20);
  }

  @Test
  void acceptsCheapAnswersOnceRatedWell() {
    countSmallAnswers(20_000, 1, true);
    assertThat(countSmallAnswers(1_000, 1, true)).isAtLeast(450);
  }

  @Test
  void abandonsCheapTierWhenItsRatingsDrop() {
    countSmallAnswers(20_000, 1, true);
    countSmallAnswers(6_000, 0, true);
    assertThat(countSmallAnswers(1_000, 0, true)).isLessThan((int) (1_000 * (1 - TARGET)));
  }

  @Test
  void keepsStrategyWhileRatingsAreMissing() {
    countSmallAnswers(20_000, 1, true);
    countSmallAnswers(10_000, 1, false);
    long lowConfidenceAccepted =
        Stream.generate(() -> cascade.accept(CONFIG, "a", "t", "small", OptionalDouble.of(0.2)))
            .limit(2_000)
            .filter(accepted -> accepted)
            .count();
    double badShare = LOW_CONFIDENCE_SHARE * lowConfidenceAccepted / 2_000;
    assertThat(badShare).isAtMost(1 - TARGET);
    assertThat(cascade.accept(CONFIG, "a", "t", "small", OptionalDouble.of(0.97))).isTrue();
  }

  @Test
  void lastTierIsAlwaysPlannedAndAccepted() {
    assertThat(cascade.plan(CONFIG, "a", "t")).contains("large");
    assertThat(cascade.accept(CONFIG, "a", "t", "large", OptionalDouble.empty())).isTrue();
  }
}
