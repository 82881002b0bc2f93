package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.currantslip.core.common.DrivenClock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeEvents;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays a burst to endpoints with few places, and checks what callers get against first come first
 * served, with and without refusal of what would be late.
 */
final class QueueLoadTest {
  private static final int PLACES = 24;
  private static final long WORK_MS = 85;
  private static final long OBJECTIVE_MS = 390;
  private static final long DEADLINE_MS = 4_000;
  private static final double USUAL_PER_S = 200;
  private static final double BURST_PER_S = 420;
  private static final long BURST_FROM_MS = 3_000;
  private static final long BURST_UNTIL_MS = 7_000;
  private static final long END_MS = 12_000;
  private static final int RANKS = 3;
  private static final double LARGE_ACCOUNT = 0.6;
  private static final int SMALL_ACCOUNTS = 8;

  private interface Admission {
    CompletableFuture<Permit> admit(PlaceQuery query);

    default void tick() {}
  }

  /** Gives places in the order of arrival; may refuse what would wait for most of its objective. */
  private final class FirstCome implements Admission {
    private record Asker(PlaceQuery query, CompletableFuture<Permit> future) {}

    private final Queue<Asker> waiting = new ArrayDeque<>();
    private final long longestWaitMs;

    private FirstCome(long longestWaitMs) {
      this.longestWaitMs = longestWaitMs;
    }

    @Override
    public CompletableFuture<Permit> admit(PlaceQuery query) {
      if (waiting.size() * WORK_MS / PLACES > longestWaitMs) {
        return CompletableFuture.failedFuture(
            RefusalException.notRunRetry(ResultCode.OVERLOADED, longestWaitMs, "queue full"));
      }
      Asker asker = new Asker(query, new CompletableFuture<>());
      waiting.add(asker);
      tick();
      return asker.future();
    }

    @Override
    public void tick() {
      while (free > 0 && !waiting.isEmpty()) {
        waiting.remove().future().complete(used -> tick());
      }
    }
  }

  /** What callers got. */
  private static final class Served {
    private double benefit;
    private final long[] asked = new long[2];
    private final long[] onTime = new long[2];

    private double share(int account) {
      return (double) onTime[account] / asked[account];
    }

    @Override
    public String toString() {
      return "benefit %.0f, on time large %.2f small %.2f".formatted(benefit, share(0), share(1));
    }
  }

  private final FakeEvents events = FakeEvents.on(DrivenClock.startingAt(1_000_000));
  private int free = PLACES;

  private Admission own(long seed) {
    PlaceQueue queue = PlaceQueue.create(events.clock(), service -> free, seed);
    return new Admission() {
      @Override
      public CompletableFuture<Permit> admit(PlaceQuery query) {
        return queue.admit(query);
      }

      @Override
      public void tick() {
        queue.tick();
      }
    };
  }

  private Served play(Admission admission, long seed) {
    Random random = new Random(seed);
    Served served = new Served();
    long startMs = events.clock().nowMs();
    for (double at = 0; at < END_MS; ) {
      boolean burst = at >= BURST_FROM_MS && at < BURST_UNTIL_MS;
      at -= Math.log(1 - random.nextDouble()) * 1_000 / (burst ? BURST_PER_S : USUAL_PER_S);
      int rank = random.nextInt(RANKS);
      boolean large = random.nextDouble() < LARGE_ACCOUNT;
      String account = large ? "large" : "small-" + random.nextInt(SMALL_ACCOUNTS);
      events.after((long) at, () -> arrive(admission, served, account, rank));
    }
    while (events.clock().nowMs() < startMs + END_MS + DEADLINE_MS) {
      events.advance(5);
      admission.tick();
    }
    return served;
  }

  private void arrive(Admission admission, Served served, String account, int rank) {
    served.asked[account.equals("large") ? 0 : 1]++;
    ask(admission, served, account, rank, events.clock().nowMs(), true);
  }

  /** Asks for a place; who is refused comes back once, at the time that it was told. */
  private void ask(
      Admission admission,
      Served served,
      String account,
      int rank,
      long firstMs,
      boolean mayReturn) {
    long now = events.clock().nowMs();
    PlaceQuery query =
        new PlaceQuery(
            "s", account, rank, now, now + OBJECTIVE_MS, firstMs + DEADLINE_MS, List.of());
    CompletableFuture<Void> unused =
        admission
            .admit(query)
            .handle(
                (permit, failure) -> {
                  if (failure == null) {
                    run(served, account, rank, firstMs, permit);
                  } else if (mayReturn) {
                    events.after(
                        retryMs(failure),
                        () -> ask(admission, served, account, rank, firstMs, false));
                  }
                  return null;
                });
  }

  private static long retryMs(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof RefusalException refusal ? refusal.retryAfterMs() : 0;
  }

  private void run(Served served, String account, int rank, long firstMs, Permit permit) {
    free--;
    events.after(
        WORK_MS,
        () -> {
          free++;
          long tookMs = events.clock().nowMs() - firstMs;
          if (tookMs <= OBJECTIVE_MS) {
            served.onTime[account.equals("large") ? 0 : 1]++;
          }
          if (tookMs <= DEADLINE_MS) {
            double worth = RANKS - rank;
            served.benefit += tookMs <= OBJECTIVE_MS ? worth : 0.3 * worth;
          }
          permit.release(0);
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void burstBringsCallersMoreThanFirstComeFirstServed(long seed) {
    Served own = play(own(seed), seed);
    Served all = play(new FirstCome(Long.MAX_VALUE), seed);
    Served bounded = play(new FirstCome(OBJECTIVE_MS - WORK_MS), seed);
    String figures =
        "own %s; first come %s; first come, refusing what is late %s".formatted(own, all, bounded);
    assertWithMessage(figures).that(own.benefit).isAtLeast(all.benefit);
    assertWithMessage(figures).that(own.benefit).isAtLeast(bounded.benefit);
    // One large account's burst does not cost the others their answers.
    assertWithMessage(figures).that(own.share(1)).isAtLeast(own.share(0));
    assertThat(free).isEqualTo(PLACES);
  }
}
