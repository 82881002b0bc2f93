package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import org.currantslip.schema.EndpointLimits;
import org.currantslip.schema.EndpointRecord;
import org.junit.jupiter.api.Test;

final class RequestLimitsTest {
  private static final long NOW_MS = 1_000_000;
  private static final EndpointRecord ENDPOINT =
      EndpointRecord.newBuilder().setId("e").setStartedMs(5).build();

  private final RequestLimits limits = RequestLimits.create(SenderShares.all());

  private EndpointNotice.Effect say(RequestLimit limit, long sentMs) {
    return limits.add(ENDPOINT, limit, sentMs, NOW_MS);
  }

  @Test
  void limitedEndpointGetsRequestsAtItsRateOnly() {
    say(RequestLimit.of(2), NOW_MS);
    int sent = 0;
    for (long ms = 0; ms < 60_000; ms += 10) {
      if (limits.permits(ENDPOINT, NOW_MS + ms)) {
        limits.onSent(ENDPOINT, NOW_MS + ms);
        sent++;
      }
    }
    assertThat(sent).isAtLeast(110);
    assertThat(sent).isAtMost(120);
  }

  @Test
  void responseToEarlierRequestDoesNotChangeLimit() {
    say(RequestLimit.none(), NOW_MS - 50);
    say(RequestLimit.of(2), NOW_MS - 10);
    assertThat(say(RequestLimit.none(), NOW_MS - 20)).isEqualTo(EndpointNotice.Effect.NONE);
    assertThat(limits.permits(ENDPOINT, NOW_MS)).isFalse();
    assertThat(say(RequestLimit.none(), NOW_MS)).isEqualTo(EndpointNotice.Effect.RELAXED);
    assertThat(limits.permits(ENDPOINT, NOW_MS)).isTrue();
  }

  @Test
  void unreadableOrUnsaidLimitChangesNothing() {
    assertThat(say(RequestLimit.of(2), NOW_MS)).isEqualTo(EndpointNotice.Effect.RESTRICTED);
    assertThat(say(RequestLimit.unreadable(), NOW_MS)).isEqualTo(EndpointNotice.Effect.UNREADABLE);
    assertThat(say(RequestLimit.unsaid(), NOW_MS)).isEqualTo(EndpointNotice.Effect.NONE);
    assertThat(limits.permits(ENDPOINT, NOW_MS)).isFalse();
  }

  @Test
  void newInstanceAtSameIdHasNoLimit() {
    say(RequestLimit.of(2), NOW_MS);
    assertThat(limits.permits(ENDPOINT.toBuilder().setStartedMs(6).build(), NOW_MS)).isTrue();
  }

  @Test
  void otherNodesLearnOfLimitAndOfItsEnd() {
    say(RequestLimit.of(2), NOW_MS);
    RequestLimits other = RequestLimits.create(SenderShares.all());
    other.onReport(limits.report(NOW_MS).orElseThrow(), NOW_MS);
    assertThat(other.permits(ENDPOINT, NOW_MS)).isFalse();

    limits.add(ENDPOINT, RequestLimit.none(), NOW_MS + 100, NOW_MS + 200);
    EndpointLimits end = limits.report(NOW_MS + 600).orElseThrow();
    other.onReport(end, NOW_MS + 600);
    assertThat(other.permits(ENDPOINT, NOW_MS + 600)).isTrue();
    assertThat(limits.report(NOW_MS + 1_200)).isEmpty();
  }

  @Test
  void limitThatNobodyRepeatsIsForgotten() {
    RequestLimits other = RequestLimits.create(SenderShares.all());
    say(RequestLimit.of(2), NOW_MS);
    other.onReport(limits.report(NOW_MS).orElseThrow(), NOW_MS);
    for (long ms = 0; ms <= 80_000; ms += 1_000) {
      other.report(NOW_MS + ms);
    }
    assertThat(other.permits(ENDPOINT, NOW_MS + 80_000)).isTrue();
  }
}
