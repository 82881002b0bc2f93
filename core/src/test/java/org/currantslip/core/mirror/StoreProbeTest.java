package org.currantslip.core.mirror;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.port.KindChanges;
import org.currantslip.core.port.KindPage;
import org.currantslip.core.port.KindStore;
import org.currantslip.core.port.StorePosition;
import org.junit.jupiter.api.Test;

/** Tests the probe of a store that does not answer it. */
final class StoreProbeTest {
  private static final long TICK_MS = 10;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final UnansweringStore store = new UnansweringStore();
  private int reportedSilences;
  private final StoreProbe probe =
      StoreProbe.create(store, () -> true, clock, () -> reportedSilences++);

  private static final class UnansweringStore implements KindStore {
    private long parts;

    @Override
    public CompletableFuture<KindPage> listKind(String kind, String startAfter) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<KindChanges> watchKind(String kind, StorePosition after, long waitMs) {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> probe() {
      return new CompletableFuture<>();
    }

    @Override
    public long receivedParts() {
      return parts;
    }

    @Override
    public CompletableFuture<Long> putStatus(
        String kind, String name, ByteString status, long expectedVersion) {
      return new CompletableFuture<>();
    }
  }

  private void advance(long ms, boolean storeSends) {
    for (long i = 0; i < ms; i += TICK_MS) {
      store.parts += storeSends ? 1 : 0;
      probe.tick();
      clock.advance(TICK_MS);
    }
  }

  @Test
  void storeThatSendsNothingIsSilentWithinSecond() {
    advance(1_000, false);
    assertThat(reportedSilences).isEqualTo(1);
  }

  @Test
  void storeThatStillSendsLargeResponseIsNotSilent() {
    advance(5_000, true);
    assertThat(reportedSilences).isEqualTo(0);
    advance(1_300, false);
    assertThat(reportedSilences).isAtLeast(1);
  }
}
