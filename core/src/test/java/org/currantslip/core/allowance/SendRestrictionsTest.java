package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.currantslip.core.allowance.EndpointNotice.Effect;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.routing.EndpointQuery;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SendRestrictionsTest {
  private static final long NOW_MS = 1_000_000;
  private static final EndpointNotice LEAVING = new EndpointNotice(true, 0);

  private final SendRestrictions restrictions = SendRestrictions.create();

  private static EndpointRecord endpoint(long startedMs) {
    return EndpointRecord.newBuilder()
        .setId("i1")
        .setService("s")
        .setStartedMs(startedMs)
        .setSlots(4)
        .build();
  }

  private static EndpointNotice retryAfter(double seconds) {
    return new EndpointNotice(false, seconds);
  }

  @ParameterizedTest
  @CsvSource({
    "0, NONE, 0",
    "0.35, RESTRICTED, 350",
    "2, RESTRICTED, 2000",
    "-1, UNREADABLE, 0",
    "NaN, UNREADABLE, 0",
    "1e300, RESTRICTED, 3600000",
    "Infinity, RESTRICTED, 3600000"
  })
  void noRequestBeforeTheTimeHasPassed(double seconds, Effect effect, long restrictedMs) {
    assertThat(restrictions.add(endpoint(1), retryAfter(seconds), NOW_MS)).isEqualTo(effect);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + restrictedMs - 1))
        .isEqualTo(restrictedMs == 0);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + restrictedMs)).isTrue();
  }

  @Test
  void shorterTimeDoesNotReplaceLongerOne() {
    restrictions.add(endpoint(1), retryAfter(2), NOW_MS);
    assertThat(restrictions.add(endpoint(1), retryAfter(1), NOW_MS + 100)).isEqualTo(Effect.NONE);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + 1_999)).isFalse();
    restrictions.add(endpoint(1), retryAfter(3), NOW_MS + 100);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + 3_099)).isFalse();
    assertThat(restrictions.permits(endpoint(1), NOW_MS + 3_100)).isTrue();
  }

  @Test
  void responseWithoutNoticeChangesNothingAfterTheTimeHasPassed() {
    restrictions.add(endpoint(1), retryAfter(1), NOW_MS);
    assertThat(restrictions.add(endpoint(1), EndpointNotice.none(), NOW_MS + 2_000))
        .isEqualTo(Effect.NONE);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + 2_000)).isTrue();
  }

  @Test
  void lateResponseOfThePreviousStartRestrictsNothing() {
    restrictions.add(endpoint(2), retryAfter(1), NOW_MS);
    assertThat(restrictions.add(endpoint(1), LEAVING, NOW_MS)).isEqualTo(Effect.NONE);
    assertThat(restrictions.permits(endpoint(2), NOW_MS)).isFalse();
    assertThat(restrictions.permits(endpoint(2), NOW_MS + 1_000)).isTrue();
  }

  @Test
  void leavingEndpointGetsNothingUntilItStartsAnew() {
    assertThat(restrictions.add(endpoint(1), LEAVING, NOW_MS)).isEqualTo(Effect.RESTRICTED);
    assertThat(restrictions.add(endpoint(1), LEAVING, NOW_MS)).isEqualTo(Effect.NONE);
    restrictions.add(endpoint(1), retryAfter(1), NOW_MS);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + 100_000)).isFalse();
    assertThat(restrictions.permits(endpoint(2), NOW_MS)).isTrue();
  }

  @Test
  void restrictionOutlivesAnEntryThatVanishesForSomeTime() {
    restrictions.add(endpoint(1), LEAVING, NOW_MS);
    restrictions.retain(Set.of(), NOW_MS + 100_000);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + 100_000)).isFalse();
    restrictions.retain(Set.of(), NOW_MS + 200_000);
    assertThat(restrictions.permits(endpoint(1), NOW_MS + 200_000)).isTrue();
  }

  @Test
  void olderReadyEntryDoesNotBringLeavingEndpointBack() {
    ManualClock clock = ManualClock.startingAt(NOW_MS);
    ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "fd", 1);
    EndpointQuery query = EndpointQuery.ofService("s", "", "", List.of(), Set.of());
    chooser.onEndpoints(List.of(endpoint(1)));
    assertThat(chooser.choose(query)).isPresent();
    chooser.onNotice(endpoint(1), LEAVING, clock.nowMs());
    assertThat(chooser.choose(query)).isEmpty();
    assertThat(chooser.freeSlots("s")).isEqualTo(0);
    chooser.onEndpoints(List.of());
    chooser.onEndpoints(List.of(endpoint(1)));
    assertThat(chooser.choose(query)).isEmpty();
    chooser.onEndpoints(List.of(endpoint(2)));
    assertThat(chooser.choose(query)).isPresent();
  }
}
