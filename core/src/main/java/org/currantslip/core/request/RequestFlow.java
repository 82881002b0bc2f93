package org.currantslip.core.request;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.limits.Permit;
import org.jspecify.annotations.Nullable;

/**
 * One request from admission to its final answer.
 *
 * <p>A request passes the stages in order, and goes back from calling to choosing for a retry.
 * Whatever arrives for a request that is done is dropped.
 */
abstract class RequestFlow implements Attempt.Owner {
  /** Where a request stands. */
  enum Stage {
    ADMITTING,
    RESERVING,
    CHOOSING,
    CALLING,
    SETTLING,
    DONE
  }

  private Stage stage = Stage.ADMITTING;
  private @Nullable Permit permit;

  /** Throws the refusal of a request that may not run at all. */
  abstract void check();

  /** Asks for admission; the future fails with a refusal. */
  abstract CompletableFuture<Permit> admit();

  /** Goes on once admitted. */
  abstract void proceed();

  /** Ends the request with a refusal. */
  abstract void refuse(RefusalException e);

  /** The caller hung up. */
  abstract void callerGone();

  /** Applies the deadline and the silence bounds to a request that is not done. */
  abstract void onTick(long nowMs);

  /** Checks the request and asks for admission. */
  final void start() {
    try {
      check();
    } catch (RefusalException e) {
      refuse(e);
      return;
    }
    whenComplete(admit(), this::onAdmitted);
  }

  final void tick(long nowMs) {
    if (!isDone()) {
      onTick(nowMs);
    }
  }

  final boolean isDone() {
    return stage == Stage.DONE;
  }

  final boolean isIn(Stage other) {
    return stage == other;
  }

  final void enter(Stage next) {
    stage = next;
  }

  /** Runs the next step when a future completes; a step that throws ends the request. */
  final <T> void whenComplete(
      CompletableFuture<T> future, BiConsumer<@Nullable T, @Nullable Throwable> step) {
    CompletableFuture<T> unused =
        future.whenComplete(
            (value, failure) -> {
              try {
                step.accept(value, failure);
              } catch (RuntimeException e) {
                onInternalError(e);
              }
            });
  }

  private void onInternalError(RuntimeException e) {
    if (!isDone()) {
      refuse(Refusals.of(e));
    }
  }

  private void onAdmitted(@Nullable Permit granted, @Nullable Throwable failure) {
    if (isDone()) {
      if (granted != null) {
        granted.release(0);
      }
    } else if (failure != null || granted == null) {
      refuse(Refusals.of(failure == null ? new IllegalStateException("no permit") : failure));
    } else {
      permit = granted;
      proceed();
    }
  }

  /** Marks the request as done and gives its permit back. */
  final void close(long usedTokens) {
    stage = Stage.DONE;
    if (permit != null) {
      permit.release(usedTokens);
      permit = null;
    }
  }
}
