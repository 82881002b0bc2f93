package org.currantslip.node.edge;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.start.WarmUpPolicy;
import org.currantslip.core.start.WarmUpPolicy.End;
import org.currantslip.core.start.WarmUpPolicy.Surroundings;
import org.currantslip.node.log.EventLog;
import org.currantslip.platform.WarmUpCall;

/**
 * Runs the warm-up of a starting node on a thread of its own.
 *
 * <p>If it hangs, the start goes on without it shortly after the time limit; its thread then
 * releases what it uses once it can.
 */
final class WarmUp {
  /** Opens the request path that is exercised. */
  interface Opener {
    WarmUpPath open() throws Exception;
  }

  /** Outcome of a warm-up. */
  record Result(End end, long elapsedMs, long processorMs, int calls) {}

  private static final long CHECK_INTERVAL_MS = 10;

  /** Allows a call that has begun to end, on most nodes. */
  private static final long CUT_MARGIN_MS = 250;

  private final Clock clock;
  private final long maxMs;
  private final LongSupplier processorMs;
  private final Supplier<Optional<Surroundings>> surroundings;
  private final Opener opener;
  private final CompletableFuture<End> ended = new CompletableFuture<>();
  private volatile boolean cut;
  private final AtomicInteger callCount = new AtomicInteger();

  private WarmUp(
      Clock clock,
      long maxMs,
      LongSupplier processorMs,
      Supplier<Optional<Surroundings>> surroundings,
      Opener opener) {
    this.clock = clock;
    this.maxMs = maxMs;
    this.processorMs = processorMs;
    this.surroundings = surroundings;
    this.opener = opener;
  }

  /**
   * Creates a warm-up.
   *
   * @param maxMs longest duration at the first start of a deployment
   * @param processorMs returns the processor time of this process
   * @param surroundings returns what the node knows; empty while it could not serve callers
   */
  static WarmUp create(
      Clock clock,
      long maxMs,
      LongSupplier processorMs,
      Supplier<Optional<Surroundings>> surroundings,
      Opener opener) {
    return new WarmUp(clock, maxMs, processorMs, surroundings, opener);
  }

  /** Runs the warm-up; returns at the latest shortly after its time limit. */
  Result run() {
    long startProcessorMs = processorMs.getAsLong();
    WarmUpPolicy policy = WarmUpPolicy.begin(clock, maxMs, startProcessorMs);
    Optional<End> endAtOnce = end(policy);
    if (endAtOnce.isPresent()) {
      return new Result(endAtOnce.get(), 0, 0, 0);
    }
    Thread thread = new Thread(() -> runRounds(policy), "warm-up");
    thread.setDaemon(true);
    thread.start();
    End end = await(policy, thread);
    return new Result(
        end, policy.elapsedMs(), processorMs.getAsLong() - startProcessorMs, callCount.get());
  }

  private Optional<End> end(WarmUpPolicy policy) {
    Optional<Surroundings> known = surroundings.get();
    return known.isEmpty()
        ? Optional.of(End.WITHDRAWN)
        : policy.end(known.get(), processorMs.getAsLong());
  }

  private End await(WarmUpPolicy policy, Thread thread) {
    try {
      while (policy.elapsedMs() < limitMs(policy)) {
        try {
          return ended.get(CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
          // Checks the limit again, which depends on what the node learns meanwhile.
        }
      }
    } catch (ExecutionException e) {
      return End.FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    cut = true;
    thread.interrupt();
    return End.CUT;
  }

  private long limitMs(WarmUpPolicy policy) {
    long maxMs =
        surroundings
            .get()
            .map(s -> s.callersWait() && s.servingPeers() == 0 ? 0 : policy.maxMs(s))
            .orElse(0L);
    return maxMs + CUT_MARGIN_MS;
  }

  private void runRounds(WarmUpPolicy policy) {
    try (WarmUpPath path = opener.open()) {
      Optional<End> end = end(policy);
      while (!cut && end.isEmpty()) {
        long startMs = clock.nowMs();
        end = runRound(policy, path);
        policy.onRound(processorMs.getAsLong());
        LockSupport.parkNanos(
            TimeUnit.MILLISECONDS.toNanos(WarmUpPolicy.pauseMs(clock.nowMs() - startMs)));
      }
      ended.complete(end.orElse(End.CUT));
    } catch (Exception | LinkageError e) {
      EventLog.write(LogEvent.WARM_UP_FAILED, "calls=%d cut=%s".formatted(callCount.get(), cut), e);
      ended.completeExceptionally(e);
    }
  }

  /** Sends a call of each kind, until the warm-up ends. */
  private Optional<End> runRound(WarmUpPolicy policy, WarmUpPath path) throws IOException {
    Optional<End> end = end(policy);
    for (WarmUpCall call : WarmUpCall.values()) {
      if (cut || end.isPresent()) {
        return end;
      }
      path.run(call);
      callCount.incrementAndGet();
      end = end(policy);
    }
    return end;
  }
}
