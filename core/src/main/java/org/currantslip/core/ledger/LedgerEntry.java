package org.currantslip.core.ledger;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Ran;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.jspecify.annotations.Nullable;

/** A request of this node that must run at most once. Only this node can ever dispatch it. */
final class LedgerEntry {
  enum State {
    /** The intent is on its way to the log. */
    PENDING,
    /** The intent is in the log; the request may be dispatched. */
    READY,
    /** The first byte may have gone to the endpoint. */
    DISPATCHED,
    /** The request has ended; its outcome is on its way to the log. */
    FINISHED,
    /** The request will never be dispatched. */
    GIVEN_UP
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

  /** Returns what a refusal may say as long as this request was not dispatched. */
  Ran ranIfNotDispatched() {
    return firstAttempt ? Ran.NO : Ran.UNKNOWN;
  }

  void ready(long nowMs) {
    state = State.READY;
    readyMs = nowMs;
  }

  void dispatched() {
    state = State.DISPATCHED;
  }

  void giveUp() {
    state = State.GIVEN_UP;
  }

  /** Ends the request; a request that was given up stays so. */
  void finish(LedgerOutcome result, long nowMs) {
    outcome = result;
    finishedMs = nowMs;
    if (state != State.GIVEN_UP) {
      state = State.FINISHED;
    }
  }
}
