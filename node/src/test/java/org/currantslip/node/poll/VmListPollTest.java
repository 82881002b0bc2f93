package org.currantslip.node.poll;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ManualClock;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.VmList;
import org.junit.jupiter.api.Test;

final class VmListPollTest {
  private static final long LIST_LAG_MS = 1_000;
  private static final long DETECTION_TARGET_MS = 3_000;
  private static final long TICK_MS = 10;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final List<List<EndpointRecord>> updates = new ArrayList<>();
  private CompletableFuture<VmList> response = CompletableFuture.completedFuture(list(1, false));
  private final VmListPoll poll = VmListPoll.create(() -> response, clock, updates::add);

  private static VmList list(long version, boolean leaving) {
    return VmList.newBuilder()
        .setVersion(version)
        .addEndpoint(EndpointRecord.newBuilder().setId("e1").setLeaving(leaving))
        .build();
  }

  private void run(long durationMs) {
    for (long i = 0; i < durationMs; i += TICK_MS) {
      poll.tick();
      clock.advance(TICK_MS);
    }
  }

  @Test
  void detectsLeavingEndpointsWithinTargetDespiteListLag() {
    run(500);
    run(LIST_LAG_MS);
    response = CompletableFuture.completedFuture(list(2, true));
    run(DETECTION_TARGET_MS - LIST_LAG_MS);

    assertThat(updates).hasSize(2);
    assertThat(updates.get(1).get(0).getLeaving()).isTrue();
  }

  @Test
  void keepsLastListDuringOutageAndIgnoresOlderVersions() {
    run(500);
    response = CompletableFuture.failedFuture(new IllegalStateException("down"));
    run(10_000);
    response = CompletableFuture.completedFuture(list(0, true));
    run(2_000);

    assertThat(updates).hasSize(1);

    response = CompletableFuture.completedFuture(list(2, true));
    run(2_000);
    assertThat(updates).hasSize(2);
  }
}
