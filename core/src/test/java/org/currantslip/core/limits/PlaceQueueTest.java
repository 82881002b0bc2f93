package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.junit.jupiter.api.Test;

final class PlaceQueueTest {
  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private int freeSlots;
  private final SlotQueue queue = SlotQueue.create(clock, service -> freeSlots, 1);
  private final List<String> granted = new ArrayList<>();
  private final List<Permit> permits = new ArrayList<>();

  private CompletableFuture<Permit> submit(String name, String account, int rank) {
    long now = clock.nowMs();
    CompletableFuture<Permit> slot =
        queue.admit(new SlotRequest("s", account, rank, now, now + 1_000, now + 4_000, List.of()));
    CompletableFuture<Void> unused =
        slot.thenAccept(
            p -> {
              freeSlots--;
              granted.add(name);
              permits.add(p);
            });
    return slot;
  }

  private void submitAndExpectQueued(String name, String account, int rank) {
    assertThat(submit(name, account, rank).isDone()).isFalse();
  }

  private void addSlots(int slots) {
    freeSlots += slots;
    queue.tick();
  }

  private static RefusalException refusal(CompletableFuture<Permit> slot) {
    try {
      slot.join();
      throw new AssertionError("expected a refusal");
    } catch (CompletionException e) {
      if (e.getCause() instanceof RefusalException refusal) {
        return refusal;
      }
      throw e;
    }
  }

  @Test
  void requestsStartImmediatelyWhileSlotsAreFree() {
    freeSlots = 3;
    for (int i = 0; i < 3; i++) {
      assertThat(submit("r" + i, "a", 0).isDone()).isTrue();
    }
    assertThat(granted).hasSize(3);
    assertThat(submit("r3", "a", 0).isDone()).isFalse();
  }

  /** The stack of a node's threads in the deployment is this small. */
  private static void runOnSmallStack(Runnable task) throws InterruptedException {
    Thread thread = new Thread(null, task, "small-stack", 256 << 10);
    thread.start();
    thread.join();
  }

  @Test
  void grantsSlotBehindManyWaitingRequestsWhoseCallersHaveLeft() throws Exception {
    int departedCount = 500;
    long now = clock.nowMs();
    SlotRequest request =
        new SlotRequest("s", "a", 0, now, now + 300_000, now + 300_000, List.of());
    List<CompletableFuture<Void>> departed = new ArrayList<>();
    for (int i = 0; i < departedCount; i++) {
      departed.add(queue.admit(request).thenAccept(permit -> permit.release(0)));
    }
    CompletableFuture<Boolean> live = queue.admit(request).thenApply(permit -> granted.add("live"));
    assertThat(live.isDone()).isFalse();
    runOnSmallStack(() -> addSlots(1));

    assertThat(departed.stream().filter(CompletableFuture::isCompletedExceptionally).count())
        .isEqualTo(0);
    assertThat(granted).containsExactly("live");
  }

  @Test
  void servesByRankAndThenAccountWithFewestGrants() {
    submit("late", "large", 2);
    submit("first", "large", 0);
    submit("second", "large", 0);
    submit("small", "small", 0);
    addSlots(4);
    assertThat(granted).containsExactly("first", "small", "second", "late").inOrder();
  }

  @Test
  void lowRankRequestIsNotStarved() {
    submit("late", "b", 2);
    for (int i = 0; i < 20; i++) {
      submit("urgent" + i, "a", 0);
    }
    addSlots(8);
    assertThat(granted).contains("late");
  }

  @Test
  void refusesImmediatelyWithRetryTimeWhenWaitIsTooLong() {
    CompletableFuture<Permit> last = submit("r", "a", 0);
    for (int i = 0; i < 30 && !last.isDone(); i++) {
      last = submit("r" + i, "a", 0);
    }
    RefusalException refusal = refusal(last);
    assertThat(refusal.ran()).isEqualTo(Ran.NO);
    assertThat(refusal.retryAfterMs()).isAtLeast(100);
  }

  @Test
  void refusesQueuedRequestAtItsLatestStart() {
    CompletableFuture<Permit> slot = submit("r", "a", 0);
    clock.advance(599);
    queue.tick();
    assertThat(slot.isDone()).isFalse();
    clock.advance(1);
    queue.tick();
    assertThat(refusal(slot).retryAfterMs()).isAtLeast(100);
  }

  @Test
  void releasedSlotIsGrantedToNextRequest() {
    freeSlots = 1;
    submit("first", "a", 0);
    submit("second", "a", 0);
    freeSlots = 1;
    permits.get(0).release(0);
    assertThat(granted).containsExactly("first", "second").inOrder();
  }
}
