package org.currantslip.core.allowance;

import static com.google.common.truth.Truth.assertThat;

import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.EndpointRestriction;
import org.currantslip.schema.RestrictionReport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against word of peers that is too old, of another instance, or never ends. */
final class PeerRestrictionsTest {
  private static final long NOW_MS = 1_000_000;
  private static final EndpointRecord ENDPOINT =
      EndpointRecord.newBuilder().setId("e").setService("s").setStartedMs(5).build();

  private final PeerRestrictions restrictions = PeerRestrictions.create((event, fields) -> {});

  private static RestrictionReport report(long startedMs, boolean leaving, int waitMs, long ageMs) {
    return RestrictionReport.newBuilder()
        .addRestriction(
            EndpointRestriction.newBuilder()
                .setEndpoint("e")
                .setStartedMs(startedMs)
                .setLeaving(leaving)
                .setWaitMs(waitMs)
                .setAgeMs(ageMs))
        .build();
  }

  @ParameterizedTest
  @CsvSource({
    "5, false, 700, 0, 700",
    "5, false, 60000, 0, 10000",
    "5, false, -1, 0, 10000",
    "5, true, 0, 1000, 9000",
    "5, false, 700, 6000, 0",
    "6, false, 700, 0, 0",
    "4, true, 0, 0, 0"
  })
  void wordOfPeersIsBounded(
      long startedMs, boolean leaving, int waitMs, long ageMs, long expectedMs) {
    restrictions.onReport("n", report(startedMs, leaving, waitMs, ageMs), NOW_MS);
    assertThat(restrictions.permittedInMs(ENDPOINT, NOW_MS)).isEqualTo(expectedMs);
    assertThat(restrictions.permittedInMs(ENDPOINT, NOW_MS + 10_000)).isEqualTo(0);
  }

  @Test
  void nodeTellsOthersOfItsOwnKnowledgeOnly() {
    SendRestrictions own = SendRestrictions.create();
    own.add(ENDPOINT, new EndpointNotice(false, 2), NOW_MS);
    EndpointRestriction news = own.takeNew(NOW_MS + 500).get(0);
    assertThat(news.getWaitMs()).isEqualTo(1_500);
    assertThat(news.getAgeMs()).isEqualTo(500);
    assertThat(own.takeNew(NOW_MS + 600)).isEmpty();
    assertThat(restrictions.covers(news, NOW_MS)).isFalse();
    restrictions.onReport("n", RestrictionReport.newBuilder().addRestriction(news).build(), NOW_MS);
    assertThat(restrictions.covers(news, NOW_MS)).isTrue();
  }
}
