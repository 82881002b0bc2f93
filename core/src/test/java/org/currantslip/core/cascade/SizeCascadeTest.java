package org.currantslip.core.cascade;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SizeCascadeTest {
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/p/",
          RouteKind.STREAMING,
          List.of(new WeightedService("s", 1)),
          3,
          8_000,
          2_000,
          600,
          0,
          false,
          true,
          List.of("small", "middle", "large"));

  private final SizeCascade cascade = SizeCascade.create();

  private static SizeCascade.Answer answer(int size, double confidence) {
    return new SizeCascade.Answer(size, OptionalDouble.of(confidence));
  }

  @ParameterizedTest
  @CsvSource({"0, 0.5, -1", "0, 0.49, 1", "1, 0.3, 2", "2, 0.1, -1"})
  void escalatesOnlyLowConfidenceAnswers(int size, double confidence, int next) {
    OptionalInt expected = next < 0 ? OptionalInt.empty() : OptionalInt.of(next);
    assertThat(cascade.nextSize(ROUTE, answer(size, confidence))).isEqualTo(expected);
  }

  @Test
  void answerWithoutConfidenceIsAccepted() {
    SizeCascade.Answer unknown = new SizeCascade.Answer(0, OptionalDouble.empty());
    assertThat(cascade.nextSize(ROUTE, unknown)).isEqualTo(OptionalInt.empty());
  }

  @Test
  void skipsSizeThatResolvesTooFewRequests() {
    for (int i = 0; i < 5; i++) {
      cascade.observe(ROUTE, answer(0, 0.05), 1, OptionalDouble.of(0.1));
      cascade.observe(ROUTE, answer(0, 0.45), 1, OptionalDouble.of(0.6));
    }
    assertThat(cascade.nextSize(ROUTE, answer(0, 0.05))).isEqualTo(OptionalInt.of(2));
    assertThat(cascade.nextSize(ROUTE, answer(0, 0.45))).isEqualTo(OptionalInt.of(1));
  }

  @ParameterizedTest
  @CsvSource({
    "0.4, 500, 1000, true",
    "0.4, 1500, 1000, false",
    "0.1, 1500, 1000, true",
    "0.1, 4000, 1000, false"
  })
  void largerModelMustBeOnTimeUnlessConfidenceIsVeryLow(
      double confidence, double expectedMs, long leftMs, boolean worthwhile) {
    assertThat(cascade.isEscalationWorthwhile(answer(0, confidence), expectedMs, leftMs, 2_000))
        .isEqualTo(worthwhile);
  }
}
