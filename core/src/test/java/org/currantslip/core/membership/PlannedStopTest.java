package org.currantslip.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.currantslip.schema.NodeState;
import org.junit.jupiter.api.Test;

final class PlannedStopTest {
  private static final PlannedStop.Options OPTIONS =
      new PlannedStop.Options(5_000, 60_000, 3_000, 3_000);

  private static final long LATE_TICK_MS = 2_600;

  private final FakeFleet fleet = FakeFleet.ofSize(3);
  private final HeartbeatMembership node = fleet.membershipOf("n000");
  private final AtomicInteger inFlight = new AtomicInteger();
  private final CompletableFuture<Void> flushed = new CompletableFuture<>();
  private final FakeCallers callers = new FakeCallers();
  private final PlannedStop stop =
      PlannedStop.create(node, fleet.events.clock(), callers, () -> flushed, OPTIONS);

  /** Callers whose requests are in flight as the test says. */
  private final class FakeCallers implements PlannedStop.Callers {
    private boolean leaving;
    private boolean refusing;
    private boolean ended;

    @Override
    public void startLeaving(long endMs) {
      leaving = true;
    }

    @Override
    public void refuseRequests() {
      refusing = true;
    }

    @Override
    public int activeRequests() {
      assertThat(refusing).isTrue();
      return inFlight.get();
    }

    @Override
    public void endRequests() {
      ended = true;
    }
  }

  private void run(long durationMs) {
    for (long i = 0; i < durationMs; i += 10) {
      stop.tick();
      fleet.run(10);
    }
  }

  @Test
  void acceptsRequestsUntilOldEntryAnswersExpire() {
    run(3_000);
    stop.begin();
    run(4_990);

    assertThat(callers.leaving).isTrue();
    assertThat(callers.refusing).isFalse();
    assertThat(FakeFleet.entries(fleet.membershipOf("n001"))).doesNotContain("n000");

    run(20);
    assertThat(callers.refusing).isTrue();
  }

  @Test
  void drainsRequestsInFlightBeforeFlushing() {
    inFlight.set(1);
    stop.begin();
    run(30_000);
    assertThat(stop.phase()).isEqualTo(PlannedStop.Phase.DRAINING);
    assertThat(callers.ended).isFalse();

    inFlight.set(0);
    run(20);
    assertThat(stop.phase()).isEqualTo(PlannedStop.Phase.FLUSHING);

    flushed.complete(null);
    run(1_500);
    assertThat(stop.phase()).isEqualTo(PlannedStop.Phase.DONE);
    assertThat(stop.isClean()).isTrue();
    assertThat(node.self().getState()).isEqualTo(NodeState.GONE);
    assertThat(fleet.membershipOf("n001").isGone(FakeFleet.id("n000", 1))).isTrue();
  }

  @Test
  void endsDrainingInTimeAlthoughTicksAreLate() {
    inFlight.set(1);
    stop.begin();
    long startedMs = fleet.events.clock().nowMs();
    while (stop.phase() != PlannedStop.Phase.FLUSHING) {
      fleet.run(LATE_TICK_MS);
      stop.tick();
    }

    assertThat(fleet.events.clock().nowMs() - startedMs)
        .isLessThan(OPTIONS.entryMs() + OPTIONS.drainMs() + LATE_TICK_MS);
  }

  @Test
  void endsInTimeAlthoughTicksAreLate() {
    fleet.store.setUnavailable(true);
    inFlight.set(1);
    stop.begin();
    long startedMs = fleet.events.clock().nowMs();
    while (stop.phase() != PlannedStop.Phase.DONE) {
      fleet.run(LATE_TICK_MS);
      stop.tick();
    }

    assertThat(fleet.events.clock().nowMs() - startedMs)
        .isLessThan(
            OPTIONS.entryMs()
                + OPTIONS.drainMs()
                + OPTIONS.flushMs()
                + OPTIONS.markMs()
                + LATE_TICK_MS);
  }

  @Test
  void endsInBoundedTimeWithoutStoreAndWithHangingRequests() {
    run(3_000);
    fleet.store.setUnavailable(true);
    inFlight.set(1);
    stop.begin();
    run(5_000 + 60_000 + 3_000 + 3_000 + 100);

    assertThat(stop.phase()).isEqualTo(PlannedStop.Phase.DONE);
    assertThat(stop.isClean()).isFalse();
    assertThat(callers.ended).isTrue();
    assertThat(fleet.membershipOf("n001").isGone(FakeFleet.id("n000", 1))).isFalse();
  }
}
