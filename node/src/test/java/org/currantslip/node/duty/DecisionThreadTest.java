package org.currantslip.node.duty;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class DecisionThreadTest {
  private static final int CAPACITY = 8;

  private final DecisionThread decisions =
      DecisionThread.create(System::currentTimeMillis, CAPACITY, CAPACITY);
  private final CountDownLatch hold = new CountDownLatch(1);

  @AfterEach
  void stop() throws InterruptedException {
    hold.countDown();
    decisions.stop();
  }

  private void holdUp() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    decisions.execute(
        () -> {
          held.countDown();
          awaitQuietly(hold);
        });
    held.await();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void refusesRequestsOnceTheRingIsFullAndRunsThoseItTook() throws InterruptedException {
    decisions.start();
    holdUp();
    AtomicInteger ran = new AtomicInteger();
    int taken = 0;
    while (decisions.offerRequest(ran::incrementAndGet)) {
      taken++;
    }
    assertThat(taken).isEqualTo(CAPACITY);

    hold.countDown();
    CountDownLatch after = new CountDownLatch(1);
    decisions.execute(after::countDown);
    after.await();
    while (decisions.waiting() > 0) {
      Thread.onSpinWait();
    }

    CountDownLatch last = new CountDownLatch(1);
    assertThat(decisions.offerRequest(last::countDown)).isTrue();
    last.await();
    assertThat(ran.get()).isEqualTo(taken);
  }

  @Test
  void losesNoCompletionWhenItsRingIsFull() throws InterruptedException {
    decisions.start();
    holdUp();
    CountDownLatch all = new CountDownLatch(10 * CAPACITY);
    Thread sender =
        new Thread(
            () -> {
              for (int i = 0; i < 10 * CAPACITY; i++) {
                decisions.execute(all::countDown);
              }
            });
    sender.start();

    hold.countDown();
    all.await();
    sender.join();

    assertThat(all.getCount()).isEqualTo(0);
  }

  @Test
  void runsOnAfterTasksThatFailAndTasksOfItsOwn() throws InterruptedException {
    decisions.start();
    CountDownLatch after = new CountDownLatch(1);
    decisions.execute(
        () -> {
          for (int i = 0; i < 4 * CAPACITY; i++) {
            decisions.execute(() -> {});
          }
          decisions.execute(after::countDown);
          throw new IllegalStateException("expected by the test");
        });

    after.await();

    assertThat(decisions.waiting()).isEqualTo(0);
  }

  @Test
  void letsSendersGoOnceItIsStopped() throws InterruptedException {
    decisions.start();
    holdUp();
    CountDownLatch full = new CountDownLatch(CAPACITY);
    Thread sender =
        new Thread(
            () -> {
              for (int i = 0; i < 2 * CAPACITY; i++) {
                decisions.execute(() -> {});
                full.countDown();
              }
            });
    sender.start();
    full.await();
    Thread stopper = new Thread(() -> stopQuietly(decisions));
    stopper.start();

    sender.join();

    hold.countDown();
    stopper.join();
    assertThat(sender.isAlive()).isFalse();
  }

  private static void stopQuietly(DecisionThread thread) {
    try {
      thread.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
