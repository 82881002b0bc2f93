package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.route.ServiceTerms;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against cold times that end too early, never, or with a value that can't be read. */
final class ColdEndpointsTest {
  private static final long NOW_MS = 1_000_000;
  private static final EndpointRecord ENDPOINT =
      EndpointRecord.newBuilder().setId("e").setService("s").setStartedMs(5).build();

  private final List<LogEvent> logged = new ArrayList<>();
  private final ColdEndpoints cold = create(1.5, 4);

  private ColdEndpoints create(double excess, double coldPerS) {
    return ColdEndpoints.create(
        SenderPlaces.alone("n"),
        new AllowanceOptions(excess, 5),
        s -> new ServiceTerms(s, "", 0, 10_000, coldPerS, null),
        new SplittableRandom(1),
        (event, fields) -> logged.add(event));
  }

  private static EndpointRecord left(int ms) {
    return ENDPOINT.toBuilder().setColdLeftMs(ms).build();
  }

  @Test
  void unchangedEntryDoesNotProlongColdTimeAndNewFigureDoes() {
    cold.onEndpoints(List.of(left(1_000)), NOW_MS);
    cold.onEndpoints(List.of(left(1_000)), NOW_MS + 900);
    assertThat(cold.isCold(ENDPOINT, NOW_MS + 999)).isTrue();
    assertThat(cold.isCold(ENDPOINT, NOW_MS + 1_000)).isFalse();
    cold.onEndpoints(List.of(left(800)), NOW_MS + 1_100);
    assertThat(cold.isCold(ENDPOINT, NOW_MS + 1_899)).isTrue();
  }

  @Test
  void unreadableTimeIsLoggedOnceAndChangesNothing() {
    cold.onEndpoints(List.of(left(1_000)), NOW_MS);
    EndpointRecord unreadable = ENDPOINT.toBuilder().setColdUnreadable(true).build();
    cold.onEndpoints(List.of(unreadable), NOW_MS + 100);
    cold.onEndpoints(List.of(unreadable), NOW_MS + 200);
    assertThat(cold.isCold(ENDPOINT, NOW_MS + 999)).isTrue();
    assertThat(logged)
        .containsExactly(LogEvent.ENDPOINT_COLD, LogEvent.ALLOWANCE_VALUE_REFUSED)
        .inOrder();
  }

  @ParameterizedTest
  @CsvSource({"0, 4", "1.5, 0"})
  void nothingIsBoundedUnlessSettingsAndServiceCallForIt(double excess, double coldPerS) {
    ColdEndpoints unbounded = create(excess, coldPerS);
    unbounded.onEndpoints(List.of(left(1_000)), NOW_MS);
    assertThat(unbounded.permits(ENDPOINT, NOW_MS)).isTrue();
  }
}
