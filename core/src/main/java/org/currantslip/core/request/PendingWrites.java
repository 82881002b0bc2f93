package org.currantslip.core.request;

import java.util.concurrent.CompletableFuture;

/**
 * Tracks the writes that must complete before a response is finished: usage record and ledger
 * outcome.
 */
final class PendingWrites {
  /** State of the writes. */
  enum State {
    /** At least one write is outstanding. */
    PENDING,
    /** The response may be finished. */
    STORED,
    /** The usage record could not be made durable. */
    FAILED
  }

  private final CompletableFuture<Void> usage;
  private final CompletableFuture<Void> outcome;
  private final long deadlineMs;

  private PendingWrites(
      CompletableFuture<Void> usage, CompletableFuture<Void> outcome, long deadlineMs) {
    this.usage = usage;
    this.outcome = outcome;
    this.deadlineMs = deadlineMs;
  }

  static PendingWrites create(
      CompletableFuture<Void> usage, CompletableFuture<Void> outcome, long deadlineMs) {
    return new PendingWrites(usage, outcome, deadlineMs);
  }

  CompletableFuture<Void> usage() {
    return usage;
  }

  CompletableFuture<Void> outcome() {
    return outcome;
  }

  /**
   * Returns the state of the writes. An outcome that is not stored in time does not delay the
   * response, because the stored intent alone prevents the key from running again.
   */
  State state(long nowMs) {
    boolean late = nowMs >= deadlineMs;
    if (usage.isCompletedExceptionally()) {
      return State.FAILED;
    }
    if (!usage.isDone()) {
      return late ? State.FAILED : State.PENDING;
    }
    return outcome.isDone() || late ? State.STORED : State.PENDING;
  }
}
