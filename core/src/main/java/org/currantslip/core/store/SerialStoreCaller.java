package org.currantslip.core.store;

import static com.google.common.base.Preconditions.checkState;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.StoreException;
import org.currantslip.core.port.StoreException.Kind;
import org.jspecify.annotations.Nullable;

/**
 * Runs one store call at a time. A call that exceeds its deadline is abandoned: a late reply is
 * ignored, but the call may still take effect.
 */
public final class SerialStoreCaller {
  private final Clock clock;
  private final StoreCircuitBreaker breaker;
  private final long deadlineMs;
  private final long slowMs;
  private long callId;
  private long startedMs;
  private boolean slow;
  private @Nullable Consumer<Kind> onFailed;

  private SerialStoreCaller(
      Clock clock, StoreCircuitBreaker breaker, long deadlineMs, long slowMs) {
    this.clock = clock;
    this.breaker = breaker;
    this.deadlineMs = deadlineMs;
    this.slowMs = slowMs;
  }

  /** Returns an idle caller that counts calls as slow after a quarter of their deadline. */
  public static SerialStoreCaller create(
      Clock clock, StoreCircuitBreaker breaker, long deadlineMs) {
    return new SerialStoreCaller(clock, breaker, deadlineMs, deadlineMs / 4);
  }

  /** Returns whether a call is in flight. */
  public boolean isBusy() {
    return onFailed != null;
  }

  /** Starts a call; exactly one of the two consumers is called, once. */
  public <T> void run(
      Supplier<CompletableFuture<T>> call, Consumer<T> onDone, Consumer<Kind> onFailed) {
    checkState(!isBusy(), "a call is already in flight");
    startedMs = clock.nowMs();
    slow = false;
    this.onFailed = onFailed;
    final long thisCall = ++callId;
    call.get()
        .whenComplete(
            (value, failure) -> {
              if (thisCall != callId || !isBusy()) {
                return;
              }
              this.onFailed = null;
              if (failure == null) {
                recordOutcome(Kind.CONFLICT);
                onDone.accept(value);
              } else {
                Kind kind = kindOf(failure);
                recordOutcome(kind);
                onFailed.accept(kind);
              }
            });
  }

  /** Abandons a call that has exceeded its deadline. */
  public void tick() {
    Consumer<Kind> failed = onFailed;
    if (failed == null) {
      return;
    }
    long elapsedMs = clock.nowMs() - startedMs;
    if (elapsedMs > deadlineMs) {
      onFailed = null;
      callId++;
      breaker.trip();
      failed.accept(Kind.OUTCOME_UNKNOWN);
    } else if (elapsedMs > slowMs && !slow) {
      slow = true;
      breaker.failed();
    }
  }

  private void recordOutcome(Kind kind) {
    if (kind != Kind.CONFLICT) {
      breaker.failed();
    } else if (!slow && clock.nowMs() - startedMs <= slowMs) {
      breaker.succeeded();
    }
  }

  private static Kind kindOf(Throwable failure) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return cause instanceof StoreException e ? e.kind() : Kind.OUTCOME_UNKNOWN;
  }
}
