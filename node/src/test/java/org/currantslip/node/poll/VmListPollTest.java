package org.currantslip.node.poll;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.DrivenClock;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.VmList;
import org.junit.jupiter.api.Test;

final class VmListPollTest {
  private static final long LAG_MS = 1_000;
  private static final long TARGET_MS = 3_000;
  private static final long TICK_MS = 10;

  private final DrivenClock clock = DrivenClock.startingAt(1_000_000);
  private final List<List<EndpointRecord>> seen = new ArrayList<>();
  private CompletableFuture<VmList> next = CompletableFuture.completedFuture(list(1, false));
  private final VmListPoll poll = VmListPoll.create(() -> next, clock, seen::add);

  private static VmList list(long version, boolean leaving) {
    return VmList.newBuilder()
        .setVersion(version)
        .addEndpoint(EndpointRecord.newBuilder().setId("e1").setLeaving(leaving))
        .build();
  }

  private void run(long forMs) {
    for (long i = 0; i < forMs; i += TICK_MS) {
      poll.tick();
      clock.advance(TICK_MS);
    }
  }

  @Test
  void seesLeavingEndpointsWithinTheTargetDespiteTheLagOfTheList() {
    run(500);
    run(LAG_MS);
    next = CompletableFuture.completedFuture(list(2, true));
    run(TARGET_MS - LAG_MS);

    assertThat(seen).hasSize(2);
    assertThat(seen.get(1).get(0).getLeaving()).isTrue();
  }

  @Test
  void keepsTheLastListInAnOutageAndNeverGoesBack() {
    run(500);
    next = CompletableFuture.failedFuture(new IllegalStateException("down"));
    run(10_000);
    next = CompletableFuture.completedFuture(list(0, true));
    run(2_000);

    assertThat(seen).hasSize(1);

    next = CompletableFuture.completedFuture(list(2, true));
    run(2_000);
    assertThat(seen).hasSize(2);
  }
}
