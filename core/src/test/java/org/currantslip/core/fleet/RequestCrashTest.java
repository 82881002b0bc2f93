package org.currantslip.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import org.currantslip.core.fleet.ForwardingFleet.Setup;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a fleet whose endpoints crash under single requests that come again unchanged. */
final class RequestCrashTest {
  private static final long CONTACT_MS = 2_000;
  private static final int CRASHES = 3;
  private static final int MAX_SENT = 3;
  private static final long RUN_MS = 30_000;
  private static final double MAX_REFUSED_SHARE = 0.01;

  @ParameterizedTest
  @CsvSource({
    // path, nodes, endpoints, slots, bad requests, interval, copies, events before the crash, seed
    "/lookup/x, 6, 4, 8, 1, 400, 1, 0, 1",
    "/lookup/x, 6, 4, 8, 1, 50, 1, 0, 2",
    "/lookup/x, 23, 8, 8, 1, 400, 3, 0, 3",
    "/record/x, 23, 8, 8, 1, 400, 1, 0, 4",
    "/record/x, 6, 4, 16, 3, 700, 2, 0, 5",
    "/chat/x, 6, 4, 8, 1, 400, 1, 0, 6",
    "/chat/x, 23, 8, 16, 1, 400, 3, 1, 7",
    "/chat/x, 23, 8, 16, 2, 300, 1, 4, 8",
    "/chat/x, 78, 24, 16, 3, 500, 2, 2, 9",
  })
  void requestThatCrashedThreeEndpointsReachesNoMore(
      String path,
      int nodes,
      int endpoints,
      int slots,
      int badRequests,
      long badIntervalMs,
      int copies,
      int events,
      long seed) {
    Setup setup = new Setup(nodes, endpoints, slots, 2_000, 1, 20, 0);
    ForwardingFleet fleet = new ForwardingFleet(setup, seed);
    fleet.endpoints.eventsBeforeCrash = events;
    fleet.runPlain(1_000, path, 0, badIntervalMs, copies);
    fleet.runPlain(RUN_MS, path, badRequests, badIntervalMs, copies);
    for (int bad = 0; bad < badRequests; bad++) {
      String body = ForwardingFleet.BAD_BODY + bad;
      List<Long> crashes = fleet.crashesMs(body);
      assertThat(crashes).isNotEmpty();
      long lastCountedMs = crashes.get(Math.min(CRASHES, crashes.size()) - 1);
      assertWithMessage("sent after three of %s crashes under %s", crashes.size(), body)
          .that(fleet.arrivalsAfter(body, lastCountedMs + CONTACT_MS))
          .isAtMost(MAX_SENT);
    }
    assertThat(fleet.endpoints.crashes.size()).isAtLeast(CRASHES);
  }

  @ParameterizedTest
  @CsvSource({
    "6, 4, 8, 1, 12000, 11",
    "23, 8, 16, 1, 12000, 13",
    "78, 24, 16, 1, 12000, 15",
  })
  void soundRequestsBesideBadOnesStillBegin(
      int nodes, int endpoints, int slots, int badRequests, long runMs, long seed) {
    Setup setup = new Setup(nodes, endpoints, slots, 2_000, 1, 10, 0);
    ForwardingFleet fleet = new ForwardingFleet(setup, seed);
    fleet.runPlain(2_000, ForwardingFleet.SAFE_PATH, 0, 1, 1);
    double usualShare = fleet.begunShare(r -> true, 0);
    fleet.runPlain(runMs, ForwardingFleet.SAFE_PATH, badRequests, 400, 1);
    long endMs = fleet.endpoints.crashes.get(fleet.endpoints.crashes.size() - 1).atMs();
    double share = fleet.begunShare(r -> !r.isBad(), Math.min(endMs, fleet.clock.nowMs() - 2_000));
    assertThat(share).isAtLeast(usualShare / 2);
  }

  @ParameterizedTest
  @CsvSource({"6, 4, 8, 21", "23, 8, 16, 22", "78, 24, 16, 23"})
  void crashesForOtherReasonsConvictFewSoundRequests(
      int nodes, int endpoints, int slots, long seed) {
    Setup setup = new Setup(nodes, endpoints, slots, 2_000, 1, 10, 0);
    ForwardingFleet fleet = new ForwardingFleet(setup, seed);
    Random random = new Random(seed);
    for (int i = 0; i < 60; i++) {
      fleet.runPlain(300, ForwardingFleet.SAFE_PATH, 0, 1, 1);
      fleet.endpoints.crash(random.nextInt(endpoints));
    }
    assertThat(fleet.refusedSoundShare()).isAtMost(MAX_REFUSED_SHARE);
  }
}
