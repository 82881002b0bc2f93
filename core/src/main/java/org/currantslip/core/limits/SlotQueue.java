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
import java.util.function.ToLongFunction;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.route.Homes;

/**
 * Queues requests for endpoint slots, most urgent first, and refuses immediately those that cannot
 * get a slot in time.
 *
 * <p>Handles bursts in which more requests arrive than the endpoints have slots. A request waits
 * only as long as its response can still meet the objective; a refused request is told when a slot
 * is likely to be free. Within a rank, the account with the fewest recent grants is served first.
 */
public final class SlotQueue {
  /** Counts the slots that are free. */
  @FunctionalInterface
  public interface SlotCounter {
    /** Returns how many requests of a service can start in these homes without waiting. */
    int freeSlots(String service, Homes homes);
  }

  /** Share of the objective that a request may spend waiting; the rest is left for the response. */
  private static final double MAX_WAIT_RATIO = 0.6;

  /** Number of consecutive grants by rank after which the oldest request of any rank is served. */
  private static final int MAX_CONSECUTIVE_PRIORITY_GRANTS = 6;

  /** Window over which the rate of released slots is measured. */
  private static final long RELEASE_RATE_WINDOW_MS = 2_000;

  /**
   * Assumed number of releases when few were observed, so that the start of a burst is not refused.
   */
  private static final int MIN_ASSUMED_RELEASES = 10;

  private static final int MAX_WAITING = 512;
  private static final long MIN_RETRY_AFTER_MS = 100;
  private static final long MAX_RETRY_AFTER_MS = 5_000;

  /** Retry times are spread over this fraction of the suggested delay. */
  private static final double RETRY_JITTER = 0.5;

  /** Half-life of the grants counted for an account. */
  private static final double GRANT_HALF_LIFE_MS = 2_000;

  private record QueuedQuery(
      SlotRequest query, CompletableFuture<Permit> future, long latestStartMs, long sequence) {}

  private final Clock clock;
  private final SlotCounter freeSlots;
  private final ToLongFunction<String> closedForMs;
  private final SplittableRandom random;
  private final Map<String, ServiceQueue> queuesByService = new HashMap<>();
  private long lastSequence;

  private SlotQueue(
      Clock clock, SlotCounter freeSlots, ToLongFunction<String> closedForMs, long seed) {
    this.clock = clock;
    this.freeSlots = freeSlots;
    this.closedForMs = closedForMs;
    random = new SplittableRandom(seed);
  }

  /**
   * Creates an empty queue.
   *
   * @param freeSlots returns how many requests of a service can start without waiting
   */
  public static SlotQueue create(Clock clock, ToIntFunction<String> freeSlots, long seed) {
    return create(clock, freeSlots, service -> 0, seed);
  }

  /**
   * Creates an empty queue.
   *
   * @param freeSlots returns how many requests of a service can start without waiting
   * @param closedForMs returns for how long no endpoint of a service may get a request
   */
  public static SlotQueue create(
      Clock clock, ToIntFunction<String> freeSlots, ToLongFunction<String> closedForMs, long seed) {
    return withHomes(clock, (service, homes) -> freeSlots.applyAsInt(service), closedForMs, seed);
  }

  /** Creates an empty queue for requests that may be bound to regions. */
  public static SlotQueue withHomes(
      Clock clock, SlotCounter freeSlots, ToLongFunction<String> closedForMs, long seed) {
    return new SlotQueue(clock, freeSlots, closedForMs, seed);
  }

  /**
   * Requests a slot; the future fails with a {@link RefusalException} if the request is refused.
   */
  public CompletableFuture<Permit> admit(SlotRequest query) {
    ServiceQueue serviceQueue = queuesByService.computeIfAbsent(query.service(), ServiceQueue::new);
    if (serviceQueue.servable().isEmpty() && serviceQueue.hasFreeSlot(query.homes())) {
      return CompletableFuture.completedFuture(serviceQueue.grant(query));
    }
    long nowMs = clock.nowMs();
    long latestStartMs = latestStart(query);
    long closedMs = closedForMs.applyAsLong(query.service());
    long waitMs = Math.max(serviceQueue.expectedWaitMs(query, nowMs), closedMs);
    if (nowMs + waitMs > latestStartMs || serviceQueue.waiting.size() >= MAX_WAITING) {
      return CompletableFuture.failedFuture(refusal(waitMs, closedMs, "no slot expected in time"));
    }
    QueuedQuery queued =
        new QueuedQuery(query, new CompletableFuture<>(), latestStartMs, ++lastSequence);
    serviceQueue.waiting.add(queued);
    return queued.future();
  }

  private static long latestStart(SlotRequest query) {
    long latestOnTimeStartMs =
        query.arrivedMs() + (long) (MAX_WAIT_RATIO * (query.objectiveMs() - query.arrivedMs()));
    return Math.min(latestOnTimeStartMs, query.deadlineMs());
  }

  private RefusalException refusal(long waitMs, long closedMs, String detail) {
    double jitterFactor = 1 + RETRY_JITTER * random.nextDouble();
    long maxMs = Math.max(MAX_RETRY_AFTER_MS, (long) (closedMs * jitterFactor));
    long retryAfterMs =
        Math.max(MIN_RETRY_AFTER_MS, Math.min((long) (waitMs * jitterFactor), maxMs));
    return RefusalException.notRunRetryable(ResultCode.OVERLOADED, retryAfterMs, detail);
  }

  /** Grants free slots and refuses requests that can no longer start in time. */
  public void tick() {
    queuesByService.values().forEach(ServiceQueue::tick);
  }

  /** Grants all requests that wait, since others than the endpoints will run them. */
  public void grantAll() {
    queuesByService.values().forEach(ServiceQueue::grantAll);
  }

  /** Returns the number of queued requests. */
  public int queuedCount() {
    return queuesByService.values().stream().mapToInt(q -> q.waiting.size()).sum();
  }

  /** Returns the number of queued requests of a service. */
  public int queuedCount(String service) {
    ServiceQueue queue = queuesByService.get(service);
    return queue == null ? 0 : queue.waiting.size();
  }

  /** Queue and release history of one service. */
  private final class ServiceQueue {
    private final String service;
    private final List<QueuedQuery> waiting = new ArrayList<>();
    private final Deque<Long> releaseTimesMs = new ArrayDeque<>();
    private final Map<String, GrantUsage> usageByAccount = new HashMap<>();
    private int consecutivePriorityGrants;
    private boolean granting;

    private ServiceQueue(String service) {
      this.service = service;
    }

    private void tick() {
      long nowMs = clock.nowMs();
      List<QueuedQuery> expired = waiting.stream().filter(w -> w.latestStartMs() <= nowMs).toList();
      waiting.removeAll(expired);
      expired.forEach(
          w ->
              w.future()
                  .completeExceptionally(
                      refusal(expectedWaitMs(w.query(), nowMs), 0, "no slot became free in time")));
      grantFreeSlots();
    }

    private void grantAll() {
      List<QueuedQuery> granted = List.copyOf(waiting);
      waiting.clear();
      granted.forEach(w -> w.future().complete(grant(w.query())));
    }

    /** A grant that is released at once is passed on by the loop, since recursion has no bound. */
    private void grantFreeSlots() {
      if (granting) {
        return;
      }
      granting = true;
      try {
        List<QueuedQuery> candidates = servable();
        while (!candidates.isEmpty()) {
          QueuedQuery next = next(candidates);
          waiting.remove(next);
          next.future().complete(grant(next.query()));
          candidates = servable();
        }
      } finally {
        granting = false;
      }
    }

    private boolean hasFreeSlot(Homes homes) {
      return freeSlots.freeSlots(service, homes) > 0;
    }

    /** Returns the waiting requests for which a slot is free in their homes. */
    private List<QueuedQuery> servable() {
      Map<Homes, Boolean> isFree = new HashMap<>();
      return waiting.stream()
          .filter(w -> isFree.computeIfAbsent(w.query().homes(), this::hasFreeSlot))
          .toList();
    }

    private QueuedQuery next(List<QueuedQuery> candidates) {
      Comparator<QueuedQuery> byArrival = Comparator.comparingLong(QueuedQuery::sequence);
      if (consecutivePriorityGrants >= MAX_CONSECUTIVE_PRIORITY_GRANTS) {
        consecutivePriorityGrants = 0;
        return candidates.stream().min(byArrival).orElseThrow();
      }
      consecutivePriorityGrants++;
      long nowMs = clock.nowMs();
      return candidates.stream()
          .min(
              Comparator.comparingInt((QueuedQuery w) -> w.query().rank())
                  .thenComparingDouble(w -> usage(w.query().account()).amount(nowMs))
                  .thenComparing(byArrival))
          .orElseThrow();
    }

    private GrantUsage usage(String account) {
      return usageByAccount.computeIfAbsent(account, a -> new GrantUsage());
    }

    private Permit grant(SlotRequest query) {
      usage(query.account()).add(clock.nowMs());
      return new Permit() {
        private boolean released;

        @Override
        public void release(long usedTokens) {
          if (!released) {
            released = true;
            releaseTimesMs.add(clock.nowMs());
            grantFreeSlots();
          }
        }
      };
    }

    /**
     * Returns the estimated wait behind queued requests of equal or higher urgency, from the recent
     * release rate.
     */
    private long expectedWaitMs(SlotRequest query, long nowMs) {
      while (!releaseTimesMs.isEmpty() && nowMs - releaseTimesMs.peek() > RELEASE_RATE_WINDOW_MS) {
        releaseTimesMs.remove();
      }
      long ahead = waiting.stream().filter(w -> w.query().rank() <= query.rank()).count();
      double releasesPerMs =
          (double) Math.max(MIN_ASSUMED_RELEASES, releaseTimesMs.size()) / RELEASE_RATE_WINDOW_MS;
      return (long) (ahead / releasesPerMs);
    }
  }

  /** Decaying count of the grants to one account. */
  private static final class GrantUsage {
    private double amount;
    private long updatedMs;

    private double amount(long nowMs) {
      return amount * Math.pow(0.5, (nowMs - updatedMs) / GRANT_HALF_LIFE_MS);
    }

    private void add(long nowMs) {
      amount = amount(nowMs) + 1;
      updatedMs = nowMs;
    }
  }
}
