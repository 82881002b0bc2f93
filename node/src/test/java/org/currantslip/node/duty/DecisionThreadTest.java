package org.currantslip.node.duty;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Collections.nCopies;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class DecisionThreadTest {
  private static final int CAPACITY = 8;
  private static final long REQUEST_MS = 100;
  private static final long SLOW_ROUND_MS = 250;
  private static final long SLOW_REQUEST_MS = 10;
  private static final long TIMEOUT_S = 20;

  private final DecisionThread decisions =
      DecisionThread.create(System::currentTimeMillis, CAPACITY, CAPACITY);
  private final CountDownLatch release = new CountDownLatch(1);

  @AfterEach
  void stop() throws InterruptedException {
    release.countDown();
    decisions.stop();
  }

  private void blockThread() throws InterruptedException {
    blockThread(decisions);
  }

  private void blockThread(Executor executor) throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    executor.execute(
        () -> {
          blocked.countDown();
          awaitQuietly(release);
        });
    blocked.await();
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void rejectsRequestsWhenRingIsFullAndRunsAcceptedOnes() throws InterruptedException {
    decisions.start();
    blockThread();
    AtomicInteger runCount = new AtomicInteger();
    int acceptedCount = 0;
    while (decisions.offerRequest(runCount::incrementAndGet)) {
      acceptedCount++;
    }
    assertThat(acceptedCount).isEqualTo(CAPACITY);

    release.countDown();
    CountDownLatch completion = new CountDownLatch(1);
    decisions.execute(completion::countDown);
    completion.await();
    while (decisions.waiting() > 0) {
      Thread.onSpinWait();
    }

    CountDownLatch lastRequest = new CountDownLatch(1);
    assertThat(decisions.offerRequest(lastRequest::countDown)).isTrue();
    lastRequest.await();
    assertThat(runCount.get()).isEqualTo(acceptedCount);
  }

  @Test
  void losesNoCompletionWhenRingIsFull() throws InterruptedException {
    decisions.start();
    blockThread();
    CountDownLatch completions = new CountDownLatch(10 * CAPACITY);
    Thread sender =
        new Thread(
            () -> {
              for (int i = 0; i < 10 * CAPACITY; i++) {
                decisions.execute(completions::countDown);
              }
            });
    sender.start();

    release.countDown();
    completions.await();
    sender.join();

    assertThat(completions.getCount()).isEqualTo(0);
  }

  @Test
  void continuesAfterFailedTasksAndTasksOfItsOwn() throws InterruptedException {
    decisions.start();
    CountDownLatch completion = new CountDownLatch(1);
    decisions.execute(
        () -> {
          for (int i = 0; i < 4 * CAPACITY; i++) {
            decisions.execute(() -> {});
          }
          decisions.execute(completion::countDown);
          throw new IllegalStateException("expected by the test");
        });

    completion.await();

    assertThat(decisions.waiting()).isEqualTo(0);
  }

  @Test
  void releasesBlockedSendersWhenStopped() throws InterruptedException {
    decisions.start();
    blockThread();
    CountDownLatch ringFilled = new CountDownLatch(CAPACITY);
    Thread sender =
        new Thread(
            () -> {
              for (int i = 0; i < 2 * CAPACITY; i++) {
                decisions.execute(() -> {});
                ringFilled.countDown();
              }
            });
    sender.start();
    ringFilled.await();
    Thread stopper = new Thread(() -> stopQuietly(decisions));
    stopper.start();

    sender.join();

    release.countDown();
    stopper.join();
    assertThat(sender.isAlive()).isFalse();
  }

  /** Sixteen requests wait, each of which takes 100 ms of the driven clock. */
  @Test
  void ticksAndCompletionsDoNotWaitForQueuedRequests() throws InterruptedException {
    AtomicLong nowMs = new AtomicLong();
    DecisionThread thread = DecisionThread.create(nowMs::get, 2 * CAPACITY, CAPACITY);
    AtomicLong lastTickMs = new AtomicLong();
    AtomicLong longestTickGapMs = new AtomicLong();
    thread.onTick(
        () -> {
          long gapMs = nowMs.get() - lastTickMs.getAndSet(nowMs.get());
          longestTickGapMs.accumulateAndGet(gapMs, Math::max);
        });
    AtomicLong completionDelayMs = new AtomicLong();
    CountDownLatch done = new CountDownLatch(2 * CAPACITY);
    for (int i = 0; i < 2 * CAPACITY; i++) {
      boolean first = i == 0;
      thread.offerRequest(
          () -> {
            nowMs.addAndGet(REQUEST_MS);
            if (first) {
              long sentMs = nowMs.get();
              thread.execute(() -> completionDelayMs.set(nowMs.get() - sentMs));
            }
            done.countDown();
          });
    }
    thread.start();
    done.await();
    thread.stop();

    assertThat(completionDelayMs.get()).isEqualTo(0);
    assertThat(longestTickGapMs.get()).isAtMost(2 * REQUEST_MS);
  }

  @Test
  void controlMessagesGoBeforeCompletionsAndRequestsThatWait() throws InterruptedException {
    List<String> order = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(3 * CAPACITY);
    decisions.start();
    blockThread(decisions.control());
    for (int i = 0; i < CAPACITY; i++) {
      offer(order, done);
      decisions.execute(() -> record(order, "completion", done));
      decisions.control().execute(() -> record(order, "control", done));
    }
    release.countDown();
    done.await();

    assertThat(order.subList(0, CAPACITY)).containsExactlyElementsIn(nCopies(CAPACITY, "control"));
  }

  private void offer(List<String> order, CountDownLatch done) {
    assertThat(decisions.offerRequest(() -> record(order, "request", done))).isTrue();
  }

  private static void record(List<String> order, String task, CountDownLatch done) {
    order.add(task);
    done.countDown();
  }

  @Test
  void lagIsTheWaitOfRequestsAndZeroOnceNoneWait() throws InterruptedException {
    AtomicLong nowMs = new AtomicLong();
    DecisionThread thread = DecisionThread.create(nowMs::get, CAPACITY, CAPACITY);
    List<Long> lags = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(3);
    for (int i = 0; i < 3; i++) {
      thread.offerRequest(
          () -> {
            lags.add(thread.lagMs());
            nowMs.addAndGet(REQUEST_MS);
            done.countDown();
          });
    }
    thread.start();
    done.await();
    thread.stop();

    assertThat(lags).containsExactly(0L, REQUEST_MS, 0L).inOrder();
  }

  /** Eight requests arrive at once at a thread whose rounds take 250 ms, as on a young process. */
  @Test
  void lagCountsTheRequestsThatWaitBehindSlowRounds() throws InterruptedException {
    AtomicLong nowMs = new AtomicLong();
    DecisionThread thread = DecisionThread.create(nowMs::get, CAPACITY, CAPACITY);
    thread.onTick(() -> nowMs.addAndGet(SLOW_ROUND_MS));
    List<Long> lags = Collections.synchronizedList(new ArrayList<>());
    List<Long> startsMs = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(CAPACITY);
    for (int i = 0; i < CAPACITY; i++) {
      thread.offerRequest(
          () -> {
            lags.add(thread.lagMs());
            startsMs.add(nowMs.get());
            nowMs.addAndGet(SLOW_REQUEST_MS);
            done.countDown();
          });
    }
    thread.start();
    done.await();
    thread.stop();

    for (int i = 1; i < CAPACITY - 1; i++) {
      long remainingMs = startsMs.get(CAPACITY - 1) - startsMs.get(i);
      assertThat(lags.get(i)).isAtLeast(remainingMs);
    }
    assertThat(lags.get(CAPACITY - 1)).isAtMost(SLOW_ROUND_MS + SLOW_REQUEST_MS);
  }

  private static void stopQuietly(DecisionThread thread) {
    try {
      thread.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void errorInOneTaskDoesNotEndTheThread() throws InterruptedException {
    decisions.start();
    decisions.execute(
        () -> {
          throw new StackOverflowError("fault in a task");
        });
    CountDownLatch next = new CountDownLatch(1);
    decisions.execute(next::countDown);

    assertThat(next.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
  }
}
