package org.currantslip.core.request;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.limits.Permit;
import org.jspecify.annotations.Nullable;

/**
 * State machine of one request, from admission to the final response.
 *
 * <p>A request passes through the stages in order, and returns from calling to choosing for a
 * retry. Events that arrive after the request is done are ignored.
 */
abstract class RequestFlow implements Attempt.Listener {
  /** Processing stage of a request. */
  enum Stage {
    ADMITTING,
    RESERVING,
    CHOOSING,
    CALLING,
    STORING,
    DONE
  }

  private Stage stage = Stage.ADMITTING;
  private @Nullable Permit permit;

  /** Throws a refusal if the request may not run. */
  abstract void check();

  /** Requests admission; the future fails with a refusal if it is denied. */
  abstract CompletableFuture<Permit> admit();

  /** Continues after admission. */
  abstract void proceed();

  /** Ends the request with a refusal. */
  abstract void refuse(RefusalException e);

  /** Called when the caller has disconnected. */
  abstract void onCallerDisconnected();

  /** Ends a request that is not done, since the node cannot wait for it any longer. */
  abstract void onNodeStop();

  /**
   * Called when this node goes on after it stood still for {@code pauseMs}, before it has read what
   * has arrived.
   */
  void onNodeResumed(long pauseMs) {}

  /** Applies the deadline and the timeouts to a request that is not done. */
  abstract void onTick(long nowMs);

  /** Checks the request and requests admission. */
  final void start() {
    guard(
        () -> {
          check();
          whenComplete(admit(), this::onAdmitted);
        });
  }

  final void tick(long nowMs) {
    if (!isDone()) {
      guard(() -> onTick(nowMs));
    }
  }

  final void stop() {
    if (!isDone()) {
      guard(this::onNodeStop);
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

  /** Runs a step when the future completes; an exception in the step ends the request. */
  final <T> void whenComplete(
      CompletableFuture<T> future, BiConsumer<@Nullable T, @Nullable Throwable> step) {
    CompletableFuture<T> unused =
        future.whenComplete((value, failure) -> guard(() -> step.accept(value, failure)));
  }

  /** Runs a step; an exception in it ends this request only. */
  final void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      onInternalError(e);
    }
  }

  private void onInternalError(Throwable e) {
    if (isDone()) {
      return;
    }
    try {
      refuse(Refusals.of(e));
    } catch (RuntimeException | Error again) {
      close(0);
      throw again;
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

  /** Marks the request as done and releases its permit. */
  final void close(long usedTokens) {
    stage = Stage.DONE;
    if (permit != null) {
      permit.release(usedTokens);
      permit = null;
    }
  }
}
