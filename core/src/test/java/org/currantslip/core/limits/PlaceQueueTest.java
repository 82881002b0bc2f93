package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.currantslip.core.common.DrivenClock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.junit.jupiter.api.Test;

final class PlaceQueueTest {
  private final DrivenClock clock = DrivenClock.startingAt(1_000_000);
  private int free;
  private final PlaceQueue queue = PlaceQueue.create(clock, service -> free, 1);
  private final List<String> granted = new ArrayList<>();
  private final List<Permit> permits = new ArrayList<>();

  private CompletableFuture<Permit> ask(String name, String account, int rank) {
    long now = clock.nowMs();
    CompletableFuture<Permit> place =
        queue.admit(new PlaceQuery("s", account, rank, now, now + 1_000, now + 4_000, List.of()));
    CompletableFuture<Void> unused =
        place.thenAccept(
            p -> {
              free--;
              granted.add(name);
              permits.add(p);
            });
    return place;
  }

  private void fill(String name, String account, int rank) {
    assertThat(ask(name, account, rank).isDone()).isFalse();
  }

  private void free(int places) {
    free += places;
    queue.tick();
  }

  private static RefusalException refusal(CompletableFuture<Permit> place) {
    try {
      place.join();
      throw new AssertionError("was granted");
    } catch (CompletionException e) {
      if (e.getCause() instanceof RefusalException refusal) {
        return refusal;
      }
      throw e;
    }
  }

  @Test
  void nothingIsRefusedWhilePlacesAreFree() {
    free = 3;
    for (int i = 0; i < 3; i++) {
      assertThat(ask("r" + i, "a", 0).isDone()).isTrue();
    }
    assertThat(granted).hasSize(3);
    assertThat(ask("r3", "a", 0).isDone()).isFalse();
  }

  @Test
  void theMostUrgentIsNextAndWithinOneRankTheAccountThatHadLess() {
    ask("late", "large", 2);
    ask("first", "large", 0);
    ask("second", "large", 0);
    ask("small", "small", 0);
    free(4);
    assertThat(granted).containsExactly("first", "small", "second", "late").inOrder();
  }

  @Test
  void lessUrgentRequestIsNotStarved() {
    ask("late", "b", 2);
    for (int i = 0; i < 20; i++) {
      ask("urgent" + i, "a", 0);
    }
    free(8);
    assertThat(granted).contains("late");
  }

  @Test
  void whatCannotBeOnTimeIsRefusedAtOnceWithOneTimeToComeBack() {
    CompletableFuture<Permit> last = ask("r", "a", 0);
    for (int i = 0; i < 30 && !last.isDone(); i++) {
      last = ask("r" + i, "a", 0);
    }
    RefusalException refusal = refusal(last);
    assertThat(refusal.ran()).isEqualTo(Ran.NO);
    assertThat(refusal.retryAfterMs()).isAtLeast(100);
  }

  @Test
  void whoWaitedTooLongIsRefusedInTimeToTryAgain() {
    CompletableFuture<Permit> place = ask("r", "a", 0);
    clock.advance(599);
    queue.tick();
    assertThat(place.isDone()).isFalse();
    clock.advance(1);
    queue.tick();
    assertThat(refusal(place).retryAfterMs()).isAtLeast(100);
  }

  @Test
  void releasedPlaceGoesToTheNextAtOnce() {
    free = 1;
    ask("first", "a", 0);
    ask("second", "a", 0);
    free = 1;
    permits.get(0).release(0);
    assertThat(granted).containsExactly("first", "second").inOrder();
  }
}
