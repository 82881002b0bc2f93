package org.currantslip.core.membership;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.jspecify.annotations.Nullable;

/**
 * State machine of a planned stop: withdraw from the entry answers, keep serving until cached entry
 * answers have expired, drain requests in flight, flush records to the store, and mark the join
 * record as gone.
 */
public final class PlannedStop {
  /** Phases of a planned stop. */
  public enum Phase {
    /** No stop has been requested. */
    RUNNING,
    /** Withdrawn from the entry answers, but callers may still hold older answers. */
    LEAVING,
    /** New requests are refused; requests in flight complete. */
    DRAINING,
    /** Records are being written to the store. */
    FLUSHING,
    /** The join record is being marked as gone. */
    MARKING,
    /** The stop is complete. */
    DONE
  }

  /**
   * Time limits of the phases.
   *
   * @param entryMs time after which no caller holds an entry answer that names this node
   * @param drainMs maximum time to complete requests in flight, counted from the end of entryMs
   *     even if that is noticed late
   * @param flushMs maximum time to write records to the store
   * @param markMs maximum time to mark the join record as gone
   */
  public record Options(long entryMs, long drainMs, long flushMs, long markMs) {}

  /** The callers of the node. */
  public interface Callers {
    /**
     * Asks callers to close their connections, but still accepts requests that can be complete by
     * {@code endMs}.
     */
    void startLeaving(long endMs);

    /**
     * Refuses new requests. When this method returns, {@link #activeRequests} counts each request
     * that was accepted before.
     */
    void refuseRequests();

    /** Returns the number of accepted requests that have not ended. */
    int activeRequests();

    /** Ends the active requests: those not begun are refused, the others have failed. */
    void endRequests();
  }

  private final HeartbeatMembership membership;
  private final Clock clock;
  private final Callers callers;
  private final Supplier<CompletableFuture<Void>> flush;
  private final Options options;
  private Phase phase = Phase.RUNNING;
  private long requestedMs;
  private long phaseStartedMs;
  private @Nullable CompletableFuture<Void> pendingStep;
  private boolean clean = true;

  private PlannedStop(
      HeartbeatMembership membership,
      Clock clock,
      Callers callers,
      Supplier<CompletableFuture<Void>> flush,
      Options options) {
    this.membership = membership;
    this.clock = clock;
    this.callers = callers;
    this.flush = flush;
    this.options = options;
  }

  /**
   * Returns a stop that has not been requested yet.
   *
   * @param callers the callers of this node
   * @param flush writes all pending records to the store
   */
  public static PlannedStop create(
      HeartbeatMembership membership,
      Clock clock,
      Callers callers,
      Supplier<CompletableFuture<Void>> flush,
      Options options) {
    return new PlannedStop(membership, clock, callers, flush, options);
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns whether no phase has failed or timed out so far. */
  public boolean isClean() {
    return clean;
  }

  /** Begins the stop; has no effect if it has already begun. */
  public void begin() {
    beginRequested(clock.nowMs());
  }

  /** Begins a stop that was requested at the given time; its limits count from then. */
  public void beginRequested(long atMs) {
    if (phase == Phase.RUNNING) {
      requestedMs = atMs;
      membership.startLeaving();
      callers.startLeaving(drainEndMs());
      enter(Phase.LEAVING);
      phaseStartedMs = atMs;
    }
  }

  /** Moves on through all phases that have ended. */
  public void tick() {
    Phase before;
    do {
      before = phase;
      step();
    } while (phase != before);
  }

  private void step() {
    long elapsedMs = clock.nowMs() - phaseStartedMs;
    switch (phase) {
      case RUNNING, DONE -> {}
      case LEAVING -> {
        if (elapsedMs >= options.entryMs()) {
          callers.refuseRequests();
          enter(Phase.DRAINING);
        }
      }
      case DRAINING -> {
        if (callers.activeRequests() == 0 || isPast(drainEndMs())) {
          callers.endRequests();
          pendingStep = flush.get();
          enter(Phase.FLUSHING);
        }
      }
      case FLUSHING -> {
        if (isStepFinished(elapsedMs, options.flushMs(), drainEndMs() + options.flushMs())) {
          pendingStep = membership.markGone();
          enter(Phase.MARKING);
        }
      }
      case MARKING -> {
        long endMs = drainEndMs() + options.flushMs() + options.markMs();
        if (isStepFinished(elapsedMs, options.markMs(), endMs)) {
          enter(Phase.DONE);
        }
      }
      default -> throw new IllegalStateException(phase.toString());
    }
  }

  private long drainEndMs() {
    return requestedMs + options.entryMs() + options.drainMs();
  }

  /** Returns whether the step is done, has taken too long, or its phase should be over. */
  private boolean isStepFinished(long elapsedMs, long maxMs, long endMs) {
    CompletableFuture<Void> current = pendingStep;
    if (current != null && current.isDone()) {
      clean &= !current.isCompletedExceptionally();
      return true;
    }
    return isPast(Math.min(clock.nowMs() - elapsedMs + maxMs, endMs));
  }

  private boolean isPast(long endMs) {
    boolean timedOut = clock.nowMs() >= endMs;
    clean &= !timedOut;
    return timedOut;
  }

  private void enter(Phase next) {
    phase = next;
    phaseStartedMs = clock.nowMs();
  }
}
