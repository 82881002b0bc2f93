package org.currantslip.core.ledger;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Ran;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.jspecify.annotations.Nullable;

/** An at-most-once request that was started on this node; no other node can dispatch it. */
final class LedgerEntry {
  enum State {
    /** The intent is being appended to the log. */
    PENDING,
    /** The intent is in the log; the request may be dispatched. */
    READY,
    /** The first byte may have gone to the endpoint. */
    DISPATCHED,
    /** The request has ended; its outcome is being appended to the log. */
    FINISHED,
    /** The request will never be dispatched. */
    ABANDONED
  }

  private final LedgerIntent intent;
  private final boolean firstAttempt;
  private final long startedMs;
  private final CompletableFuture<LedgerDecision> decision = new CompletableFuture<>();
  private final CompletableFuture<Void> finished = new CompletableFuture<>();
  private State state = State.PENDING;
  private long readyMs;
  private long finishedMs;
  private @Nullable LedgerOutcome outcome;

  private LedgerEntry(LedgerIntent intent, boolean firstAttempt, long startedMs) {
    this.intent = intent;
    this.firstAttempt = firstAttempt;
    this.startedMs = startedMs;
  }

  static LedgerEntry create(LedgerIntent intent, boolean firstAttempt, long startedMs) {
    return new LedgerEntry(intent, firstAttempt, startedMs);
  }

  LedgerIntent intent() {
    return intent;
  }

  String requestId() {
    return intent.getRequestId();
  }

  long startedMs() {
    return startedMs;
  }

  State state() {
    return state;
  }

  CompletableFuture<LedgerDecision> decision() {
    return decision;
  }

  CompletableFuture<Void> finished() {
    return finished;
  }

  @Nullable LedgerOutcome outcome() {
    return outcome;
  }

  long readyMs() {
    return readyMs;
  }

  long finishedMs() {
    return finishedMs;
  }

  /** Returns the execution status that a refusal reports if this request was not dispatched. */
  Ran ranIfNotDispatched() {
    return firstAttempt ? Ran.NO : Ran.UNKNOWN;
  }

  void markReady(long nowMs) {
    state = State.READY;
    readyMs = nowMs;
  }

  void markDispatched() {
    state = State.DISPATCHED;
  }

  void abandon() {
    state = State.ABANDONED;
  }

  /** Sets the outcome. An abandoned request stays abandoned. */
  void finish(LedgerOutcome result, long nowMs) {
    outcome = result;
    finishedMs = nowMs;
    if (state != State.ABANDONED) {
      state = State.FINISHED;
    }
  }
}
