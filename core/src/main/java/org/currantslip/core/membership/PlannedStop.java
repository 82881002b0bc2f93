package org.currantslip.core.membership;

import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Steps of a planned stop: leave the entry answers, serve until callers have stopped coming, finish
 * what is under way, write everything out, mark the join record.
 */
public final class PlannedStop {
  /** Where a planned stop stands. */
  public enum Phase {
    /** No stop was asked for. */
    RUNNING,
    /** Off the entry answers, but callers may still hold older ones. */
    LEAVING,
    /** No new requests; those under way are finished. */
    DRAINING,
    /** Records are written to the store. */
    FLUSHING,
    /** The join record is marked. */
    MARKING,
    /** Nothing is left to do. */
    DONE
  }

  /**
   * Bounds of the steps.
   *
   * @param entryMs time until no caller holds an entry answer that names this node
   * @param drainMs longest time to finish requests under way
   * @param flushMs longest time to write records out
   * @param markMs longest time to mark the join record
   */
  public record Options(long entryMs, long drainMs, long flushMs, long markMs) {}

  private final HeartbeatMembership membership;
  private final Clock clock;
  private final IntSupplier inFlight;
  private final Supplier<CompletableFuture<Void>> flush;
  private final Options options;
  private Phase phase = Phase.RUNNING;
  private long phaseMs;
  private @Nullable CompletableFuture<Void> step;
  private boolean clean = true;

  private PlannedStop(
      HeartbeatMembership membership,
      Clock clock,
      IntSupplier inFlight,
      Supplier<CompletableFuture<Void>> flush,
      Options options) {
    this.membership = membership;
    this.clock = clock;
    this.inFlight = inFlight;
    this.flush = flush;
    this.options = options;
  }

  /**
   * Returns a stop that has not begun.
   *
   * @param inFlight counts requests under way
   * @param flush writes everything out that must last
   */
  public static PlannedStop create(
      HeartbeatMembership membership,
      Clock clock,
      IntSupplier inFlight,
      Supplier<CompletableFuture<Void>> flush,
      Options options) {
    return new PlannedStop(membership, clock, inFlight, flush, options);
  }

  /** Returns where the stop stands. */
  public Phase phase() {
    return phase;
  }

  /** Returns whether no step had to be cut short. */
  public boolean isClean() {
    return clean;
  }

  /** Returns whether new requests are still served. */
  public boolean acceptsRequests() {
    return phase == Phase.RUNNING || phase == Phase.LEAVING;
  }

  /** Begins the stop; a second call changes nothing. */
  public void begin() {
    if (phase == Phase.RUNNING) {
      membership.leave();
      enter(Phase.LEAVING);
    }
  }

  /** Goes on to the next step when it is due. */
  public void tick() {
    long sinceMs = clock.nowMs() - phaseMs;
    switch (phase) {
      case RUNNING, DONE -> {}
      case LEAVING -> {
        if (sinceMs >= options.entryMs()) {
          enter(Phase.DRAINING);
        }
      }
      case DRAINING -> {
        if (inFlight.getAsInt() == 0 || isLate(sinceMs, options.drainMs())) {
          step = flush.get();
          enter(Phase.FLUSHING);
        }
      }
      case FLUSHING -> {
        if (isOver(sinceMs, options.flushMs())) {
          step = membership.complete();
          enter(Phase.MARKING);
        }
      }
      case MARKING -> {
        if (isOver(sinceMs, options.markMs())) {
          enter(Phase.DONE);
        }
      }
      default -> throw new IllegalStateException(phase.toString());
    }
  }

  private boolean isOver(long sinceMs, long mostMs) {
    CompletableFuture<Void> running = step;
    if (running != null && running.isDone()) {
      clean &= !running.isCompletedExceptionally();
      return true;
    }
    return isLate(sinceMs, mostMs);
  }

  private boolean isLate(long sinceMs, long mostMs) {
    boolean late = sinceMs >= mostMs;
    clean &= !late;
    return late;
  }

  private void enter(Phase next) {
    phase = next;
    phaseMs = clock.nowMs();
  }
}
