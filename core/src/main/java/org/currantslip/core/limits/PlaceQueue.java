package org.currantslip.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/**
 * Gives places at endpoints to requests, the most urgent first, and refuses at once what cannot
 * have one in time.
 *
 * <p>Answers the load of a burst: more requests than the endpoints have places. A request waits
 * only as long as its answer can still be on time; who is refused is told when a place is likely.
 * Within a rank, the account that was given the fewest places lately is next.
 */
public final class PlaceQueue {
  /** Part of the objective that a request may wait; the rest is for the answer itself. */
  private static final double WAIT_SHARE = 0.6;

  /** Grants to the most urgent rank after which the longest wait of any rank is ended. */
  private static final int URGENT_IN_A_ROW = 6;

  /** Span over which the rate of freed places is measured. */
  private static final long RATE_SPAN_MS = 2_000;

  /** Assumed while nothing was freed yet, so that the first of a burst are not refused. */
  private static final int FEWEST_FREED = 10;

  private static final int MAX_WAITING = 512;
  private static final long MIN_RETRY_MS = 100;
  private static final long MAX_RETRY_MS = 5_000;

  /** Returns of refused requests are spread over this part of the time they are told. */
  private static final double RETRY_SPREAD = 0.5;

  /** Half of what an account was given counts no more after this time. */
  private static final double GIVEN_HALF_TIME_MS = 2_000;

  private record Waiting(
      PlaceQuery query, CompletableFuture<Permit> future, long untilMs, long number) {}

  private final Clock clock;
  private final ToIntFunction<String> freePlaces;
  private final SplittableRandom random;
  private final Map<String, Line> lines = new HashMap<>();
  private long lastNumber;

  private PlaceQueue(Clock clock, ToIntFunction<String> freePlaces, long seed) {
    this.clock = clock;
    this.freePlaces = freePlaces;
    random = new SplittableRandom(seed);
  }

  /**
   * Returns an empty queue.
   *
   * @param freePlaces tells how many requests of a service find a place at once
   */
  public static PlaceQueue create(Clock clock, ToIntFunction<String> freePlaces, long seed) {
    return new PlaceQueue(clock, freePlaces, seed);
  }

  /** Asks for a place; the future fails with a {@link RefusalException}. */
  public CompletableFuture<Permit> admit(PlaceQuery query) {
    Line line = lines.computeIfAbsent(query.service(), Line::new);
    if (line.waiting.isEmpty() && freePlaces.applyAsInt(query.service()) > 0) {
      return CompletableFuture.completedFuture(line.grant(query));
    }
    long nowMs = clock.nowMs();
    long untilMs = latestStart(query);
    long waitMs = line.expectedWaitMs(query, nowMs);
    if (nowMs + waitMs > untilMs || line.waiting.size() >= MAX_WAITING) {
      return CompletableFuture.failedFuture(refusal(waitMs, "no place in time"));
    }
    Waiting waiting = new Waiting(query, new CompletableFuture<>(), untilMs, ++lastNumber);
    line.waiting.add(waiting);
    return waiting.future();
  }

  private static long latestStart(PlaceQuery q) {
    long onTime = q.arrivedMs() + (long) (WAIT_SHARE * (q.objectiveMs() - q.arrivedMs()));
    return Math.min(onTime, q.deadlineMs());
  }

  private RefusalException refusal(long waitMs, String detail) {
    double spread = 1 + RETRY_SPREAD * random.nextDouble();
    long retryMs = Math.max(MIN_RETRY_MS, Math.min((long) (waitMs * spread), MAX_RETRY_MS));
    return RefusalException.notRunRetry(ResultCode.OVERLOADED, retryMs, detail);
  }

  /** Gives out free places, and refuses requests that waited too long. */
  public void tick() {
    lines.values().forEach(Line::tick);
  }

  /** Returns how many requests wait. */
  public int waiting() {
    return lines.values().stream().mapToInt(l -> l.waiting.size()).sum();
  }

  /** The requests of one service. */
  private final class Line {
    private final String service;
    private final List<Waiting> waiting = new ArrayList<>();
    private final Deque<Long> freedMs = new ArrayDeque<>();
    private final Map<String, Given> given = new HashMap<>();
    private int urgentInRow;

    private Line(String service) {
      this.service = service;
    }

    private void tick() {
      long nowMs = clock.nowMs();
      List<Waiting> late = waiting.stream().filter(w -> w.untilMs() <= nowMs).toList();
      waiting.removeAll(late);
      late.forEach(
          w ->
              w.future()
                  .completeExceptionally(
                      refusal(expectedWaitMs(w.query(), nowMs), "waited too long for a place")));
      giveOut();
    }

    private void giveOut() {
      while (!waiting.isEmpty() && freePlaces.applyAsInt(service) > 0) {
        Waiting next = next();
        waiting.remove(next);
        next.future().complete(grant(next.query()));
      }
    }

    private Waiting next() {
      Comparator<Waiting> byAge = Comparator.comparingLong(Waiting::number);
      if (urgentInRow >= URGENT_IN_A_ROW) {
        urgentInRow = 0;
        return waiting.stream().min(byAge).orElseThrow();
      }
      urgentInRow++;
      long nowMs = clock.nowMs();
      return waiting.stream()
          .min(
              Comparator.comparingInt((Waiting w) -> w.query().rank())
                  .thenComparingDouble(w -> given(w.query().account()).amount(nowMs))
                  .thenComparing(byAge))
          .orElseThrow();
    }

    private Given given(String account) {
      return given.computeIfAbsent(account, a -> new Given());
    }

    private Permit grant(PlaceQuery query) {
      given(query.account()).add(clock.nowMs());
      return new Permit() {
        private boolean released;

        @Override
        public void release(long usedTokens) {
          if (!released) {
            released = true;
            freedMs.add(clock.nowMs());
            giveOut();
          }
        }
      };
    }

    /** Returns the time until those ahead have places, at the rate at which places became free. */
    private long expectedWaitMs(PlaceQuery query, long nowMs) {
      while (!freedMs.isEmpty() && nowMs - freedMs.peek() > RATE_SPAN_MS) {
        freedMs.remove();
      }
      long ahead = waiting.stream().filter(w -> w.query().rank() <= query.rank()).count();
      double perMs = (double) Math.max(FEWEST_FREED, freedMs.size()) / RATE_SPAN_MS;
      return (long) (ahead / perMs);
    }
  }

  /** What one account was given lately. */
  private static final class Given {
    private double amount;
    private long atMs;

    private double amount(long nowMs) {
      return amount * Math.pow(0.5, (nowMs - atMs) / GIVEN_HALF_TIME_MS);
    }

    private void add(long nowMs) {
      amount = amount(nowMs) + 1;
      atMs = nowMs;
    }
  }
}
