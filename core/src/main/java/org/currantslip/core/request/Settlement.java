package org.currantslip.core.request;

import java.util.concurrent.CompletableFuture;

/** Waits until usage record and outcome of an answered request are stored. */
final class Settlement {
  /** What a settlement has come to. */
  enum State {
    /** Something is still outstanding. */
    PENDING,
    /** The answer may end. */
    SETTLED,
    /** The usage record could not be made safe. */
    FAILED
  }

  private final CompletableFuture<Void> usage;
  private final CompletableFuture<Void> outcome;
  private final long deadlineMs;

  private Settlement(
      CompletableFuture<Void> usage, CompletableFuture<Void> outcome, long deadlineMs) {
    this.usage = usage;
    this.outcome = outcome;
    this.deadlineMs = deadlineMs;
  }

  static Settlement create(
      CompletableFuture<Void> usage, CompletableFuture<Void> outcome, long deadlineMs) {
    return new Settlement(usage, outcome, deadlineMs);
  }

  CompletableFuture<Void> usage() {
    return usage;
  }

  CompletableFuture<Void> outcome() {
    return outcome;
  }

  /**
   * Returns the state. An outcome that is not stored in time does not hold the answer back: the
   * intent alone keeps the key from running again.
   */
  State state(long nowMs) {
    boolean late = nowMs >= deadlineMs;
    if (usage.isCompletedExceptionally()) {
      return State.FAILED;
    }
    if (!usage.isDone()) {
      return late ? State.FAILED : State.PENDING;
    }
    return outcome.isDone() || late ? State.SETTLED : State.PENDING;
  }
}
