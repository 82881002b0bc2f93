package org.currantslip.core.limits;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeEvents;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates a burst at endpoints with few slots and compares the benefit to callers with FIFO
 * queues, both unbounded and bounded by the objective.
 */
final class PlaceQueueLoadTest {
  private static final int SLOTS = 24;
  private static final long SERVICE_MS = 85;
  private static final long OBJECTIVE_MS = 390;
  private static final long DEADLINE_MS = 4_000;
  private static final double BASELINE_PER_S = 200;
  private static final double BURST_PER_S = 420;
  private static final long BURST_START_MS = 3_000;
  private static final long BURST_END_MS = 7_000;
  private static final long END_MS = 12_000;
  private static final int RANKS = 3;
  private static final double LARGE_ACCOUNT_SHARE = 0.6;
  private static final int SMALL_ACCOUNTS = 8;

  private interface Admission {
    CompletableFuture<Permit> admit(SlotRequest query);

    default void tick() {}
  }

  /**
   * Grants slots in arrival order; may refuse requests that would wait for most of their objective.
   */
  private final class FifoAdmission implements Admission {
    private record QueuedQuery(SlotRequest query, CompletableFuture<Permit> future) {}

    private final Queue<QueuedQuery> waiting = new ArrayDeque<>();
    private final long maxWaitMs;

    private FifoAdmission(long maxWaitMs) {
      this.maxWaitMs = maxWaitMs;
    }

    @Override
    public CompletableFuture<Permit> admit(SlotRequest query) {
      if (waiting.size() * SERVICE_MS / SLOTS > maxWaitMs) {
        return CompletableFuture.failedFuture(
            RefusalException.notRunRetryable(ResultCode.OVERLOADED, maxWaitMs, "queue full"));
      }
      QueuedQuery queued = new QueuedQuery(query, new CompletableFuture<>());
      waiting.add(queued);
      tick();
      return queued.future();
    }

    @Override
    public void tick() {
      while (freeSlots > 0 && !waiting.isEmpty()) {
        waiting.remove().future().complete(used -> tick());
      }
    }
  }

  /** Benefit and on-time counts seen by the callers. */
  private static final class Result {
    private double benefit;
    private final long[] requests = new long[2];
    private final long[] onTime = new long[2];

    private double share(int account) {
      return (double) onTime[account] / requests[account];
    }

    @Override
    public String toString() {
      return "benefit %.0f, on time large %.2f small %.2f".formatted(benefit, share(0), share(1));
    }
  }

  private final FakeEvents events = FakeEvents.on(ManualClock.startingAt(1_000_000));
  private int freeSlots = SLOTS;

  private Admission slotQueue(long seed) {
    SlotQueue queue = SlotQueue.create(events.clock(), service -> freeSlots, seed);
    return new Admission() {
      @Override
      public CompletableFuture<Permit> admit(SlotRequest query) {
        return queue.admit(query);
      }

      @Override
      public void tick() {
        queue.tick();
      }
    };
  }

  private Result simulate(Admission admission, long seed) {
    Random random = new Random(seed);
    Result result = new Result();
    long startMs = events.clock().nowMs();
    for (double arrivalMs = 0; arrivalMs < END_MS; ) {
      boolean burst = arrivalMs >= BURST_START_MS && arrivalMs < BURST_END_MS;
      arrivalMs -=
          Math.log(1 - random.nextDouble()) * 1_000 / (burst ? BURST_PER_S : BASELINE_PER_S);
      int rank = random.nextInt(RANKS);
      boolean large = random.nextDouble() < LARGE_ACCOUNT_SHARE;
      String account = large ? "large" : "small-" + random.nextInt(SMALL_ACCOUNTS);
      events.after((long) arrivalMs, () -> onArrival(admission, result, account, rank));
    }
    while (events.clock().nowMs() < startMs + END_MS + DEADLINE_MS) {
      events.advance(5);
      admission.tick();
    }
    return result;
  }

  private void onArrival(Admission admission, Result result, String account, int rank) {
    result.requests[account.equals("large") ? 0 : 1]++;
    submit(admission, result, account, rank, events.clock().nowMs(), true);
  }

  /** Requests a slot; a refused request retries once, after the suggested delay. */
  private void submit(
      Admission admission,
      Result result,
      String account,
      int rank,
      long arrivedMs,
      boolean mayRetry) {
    long now = events.clock().nowMs();
    SlotRequest query =
        new SlotRequest(
            "s", account, rank, now, now + OBJECTIVE_MS, arrivedMs + DEADLINE_MS, List.of());
    CompletableFuture<Void> unused =
        admission
            .admit(query)
            .handle(
                (permit, failure) -> {
                  if (failure == null) {
                    run(result, account, rank, arrivedMs, permit);
                  } else if (mayRetry) {
                    events.after(
                        retryAfterMs(failure),
                        () -> submit(admission, result, account, rank, arrivedMs, false));
                  }
                  return null;
                });
  }

  private static long retryAfterMs(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof RefusalException refusal ? refusal.retryAfterMs() : 0;
  }

  private void run(Result result, String account, int rank, long arrivedMs, Permit permit) {
    freeSlots--;
    events.after(
        SERVICE_MS,
        () -> {
          freeSlots++;
          long latencyMs = events.clock().nowMs() - arrivedMs;
          if (latencyMs <= OBJECTIVE_MS) {
            result.onTime[account.equals("large") ? 0 : 1]++;
          }
          if (latencyMs <= DEADLINE_MS) {
            double value = RANKS - rank;
            result.benefit += latencyMs <= OBJECTIVE_MS ? value : 0.3 * value;
          }
          permit.release(0);
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void burstYieldsMoreBenefitThanFifo(long seed) {
    Result slotQueue = simulate(slotQueue(seed), seed);
    Result fifo = simulate(new FifoAdmission(Long.MAX_VALUE), seed);
    Result boundedFifo = simulate(new FifoAdmission(OBJECTIVE_MS - SERVICE_MS), seed);
    String summary =
        "place queue %s; fifo %s; bounded fifo %s".formatted(slotQueue, fifo, boundedFifo);
    assertWithMessage(summary).that(slotQueue.benefit).isAtLeast(fifo.benefit);
    assertWithMessage(summary).that(slotQueue.benefit).isAtLeast(boundedFifo.benefit);
    // A burst of one large account must not delay the responses of the others.
    assertWithMessage(summary).that(slotQueue.share(1)).isAtLeast(slotQueue.share(0));
    assertThat(freeSlots).isEqualTo(SLOTS);
  }
}
