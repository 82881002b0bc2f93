package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import org.currantslip.core.allowance.EndpointNotice.Effect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a brittle period that a late, foreign or unreadable response begins or ends. */
final class BrittleServicesTest {
  private static final long NOW_MS = 1_000_000;

  private final BrittleServices services = BrittleServices.create();

  private Effect say(OptionalDouble perS, RequestLimit limit, long sentMs) {
    return services.add("s", new EndpointNotice(false, 0, limit, perS), sentMs, NOW_MS);
  }

  @Test
  void responseToLaterRequestCounts() {
    assertThat(say(OptionalDouble.of(2), RequestLimit.none(), NOW_MS - 10))
        .isEqualTo(Effect.RESTRICTED);
    assertThat(say(OptionalDouble.empty(), RequestLimit.none(), NOW_MS - 20))
        .isEqualTo(Effect.NONE);
    assertThat(say(OptionalDouble.empty(), RequestLimit.unsaid(), NOW_MS)).isEqualTo(Effect.NONE);
    assertThat(services.isBrittle("s")).isTrue();
    assertThat(say(OptionalDouble.empty(), RequestLimit.none(), NOW_MS)).isEqualTo(Effect.RELAXED);
    assertThat(services.isBrittle("s")).isFalse();
  }

  @ParameterizedTest
  @ValueSource(doubles = {Double.NaN, -1, Double.POSITIVE_INFINITY})
  void unreadableBoundChangesNothing(double perS) {
    assertThat(say(OptionalDouble.of(perS), RequestLimit.none(), NOW_MS))
        .isEqualTo(Effect.UNREADABLE);
    assertThat(services.isBrittle("s")).isFalse();
    say(OptionalDouble.of(2), RequestLimit.none(), NOW_MS);
    say(OptionalDouble.of(perS), RequestLimit.none(), NOW_MS + 10);
    assertThat(services.isBrittle("s")).isTrue();
  }

  @Test
  void otherNodesLearnOfBrittleServiceOnce() {
    say(OptionalDouble.of(2), RequestLimit.none(), NOW_MS);
    BrittleServices other = BrittleServices.create();
    services.report(NOW_MS).forEach(s -> assertThat(other.onReport(s, NOW_MS)).isTrue());
    assertThat(other.isBrittle("s")).isTrue();
    assertThat(other.report(NOW_MS)).isEmpty();
    assertThat(services.report(NOW_MS + 1_000)).isEmpty();
  }
}
