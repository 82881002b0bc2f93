package org.currantslip.core.quarantine;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Random;
import java.util.stream.LongStream;
import org.currantslip.core.quarantine.FleetResult.BadPart;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays fleets with prompt parts that crash endpoints, and other disturbances beside them. */
final class PromptQuarantineFleetTest {
  private static final long CONTACT_MS = 3_000;
  private static final int MAX_SENT_AFTER_FIFTH_CRASH = 3;
  private static final double MAX_REFUSED_SHARE = 0.5;

  static LongStream seeds() {
    return LongStream.concat(
        LongStream.range(0, 60), LongStream.of(74, 189, 212, 325, 461, 484, 610, 684));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void badPartsAreNotSentAfterFiveCrashesAndSoundRequestsAre(long seed) {
    FleetScenario scenario = scenario(seed, true);
    FleetResult result = QuarantineFleet.run(scenario);
    for (BadPart badPart : result.badParts()) {
      assertWithMessage("requests with %s of %s", badPart.id(), scenario)
          .that(badPart.sentAfterFifthCrash(CONTACT_MS))
          .isAtMost(MAX_SENT_AFTER_FIFTH_CRASH);
      result
          .refusedShares(badPart, 2 * CONTACT_MS)
          .forEach(
              (part, share) ->
                  assertWithMessage("refused sound requests with %s of %s", part, scenario)
                      .that(share)
                      .isAtMost(MAX_REFUSED_SHARE));
    }
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void wrongVerdictsEndWithoutBadParts(long seed) {
    FleetScenario scenario = scenario(seed, false);
    FleetResult result = QuarantineFleet.run(scenario);
    assertWithMessage("verdicts of %s", scenario).that(result.standingFalseVerdicts()).isEmpty();
  }

  static FleetScenario scenario(long seed, boolean withBadParts) {
    Random random = new Random(seed * 31 + (withBadParts ? 1 : 0));
    int endpoints = pick(random, 4, 6, 12, 24, 64);
    int batch = pick(random, 1, 4, 16, 48, 128);
    double prefillMs = pick(random, 20, 100, 400);
    double serviceMs = pick(random, 300, 1_000, 3_000);
    double utilization = 0.2 + 0.5 * random.nextDouble();
    double requestsPerS =
        Math.min(300, utilization * endpoints * batch * 1_000 / (serviceMs + prefillMs + 30));
    long badFromMs = random.nextInt(4) == 0 ? 0 : 8_000;
    return new FleetScenario(
        seed,
        2 + random.nextInt(23),
        endpoints,
        batch,
        withBadParts ? 1 + random.nextInt(4) : 0,
        Math.exp(Math.log(0.005) + random.nextDouble() * Math.log(80)),
        random.nextInt(3),
        requestsPerS,
        serviceMs,
        prefillMs,
        pick(random, 5, 50, 300),
        random.nextInt(3) == 0 ? 0.1 : 0.01,
        badFromMs,
        60_000,
        random.nextInt(3) == 0 ? 0.3 : 0,
        random.nextInt(2) == 0 ? 2_000 + random.nextInt(40_000) : -1,
        random.nextInt(3) == 0 ? 2_000 + random.nextInt(40_000) : -1,
        random.nextInt(3) == 0 ? 0.01 : 0,
        random.nextBoolean());
  }

  private static int pick(Random random, int... values) {
    return values[random.nextInt(values.length)];
  }
}
