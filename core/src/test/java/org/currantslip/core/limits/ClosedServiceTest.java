package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.RefusalException;
import org.junit.jupiter.api.Test;

/** Guards against requests that wait for endpoints which want none, or come back all at once. */
final class ClosedServiceTest {
  private static final long CLOSED_MS = 8_000;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final SlotQueue queue = SlotQueue.create(clock, s -> 0, s -> CLOSED_MS, 1);

  private long retryAfterMs() {
    long nowMs = clock.nowMs();
    CompletableFuture<Permit> permit =
        queue.admit(
            new SlotRequest("s", "account", 0, nowMs, nowMs + 300, nowMs + 60_000, List.of()));
    assertThat(permit.isDone()).isTrue();
    CompletionException failure = assertThrows(CompletionException.class, permit::join);
    return ((RefusalException) Objects.requireNonNull(failure.getCause())).retryAfterMs();
  }

  @Test
  void requestIsRefusedAtOnceWithSpreadTimeAtWhichAnEndpointMayTakeIt() {
    List<Long> times = IntStream.range(0, 100).mapToObj(i -> retryAfterMs()).sorted().toList();
    assertThat(times.get(0)).isAtLeast(CLOSED_MS);
    assertThat(times.get(99) - times.get(0)).isAtLeast(CLOSED_MS / 3);
  }
}
