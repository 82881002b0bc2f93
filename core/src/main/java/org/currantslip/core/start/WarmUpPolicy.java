package org.currantslip.core.start;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Optional;
import org.currantslip.core.common.Clock;

/**
 * Decides how long a starting node exercises its own request path before it accepts callers.
 *
 * <p>Warm-up consists of rounds of a few calls each. It ends once rounds no longer get cheaper, at
 * a limit of elapsed or processor time, or when callers need the node now. The limits depend on
 * whether other nodes serve callers meanwhile.
 */
public final class WarmUpPolicy {
  /** Reason for the end of a warm-up. */
  public enum End {
    /** No warm-up is configured. */
    OFF,
    /** The last rounds were not cheaper than those before. */
    SETTLED,
    ELAPSED_LIMIT,
    PROCESSOR_LIMIT,
    /** Callers asked for nodes while no other node serves. */
    CALLERS_WAIT,
    /** A call was still under way shortly after the limit of elapsed time. */
    CUT,
    /** The node does not know what it needs in order to serve, or it stops. */
    WITHDRAWN,
    FAILED
  }

  /** Role of a node that starts, which determines the limits of its warm-up. */
  private enum Role {
    /** Nobody uses the deployment yet. */
    FIRST_START,
    /** Other nodes serve callers meanwhile. */
    OTHERS_SERVE,
    /** All nodes were lost; callers wait until the first one serves. */
    ALONE
  }

  /**
   * What a node knows of its deployment.
   *
   * @param firstStart whether no node of the deployment has served before
   * @param servingPeers other nodes that serve and to which this node has a link
   * @param callersWait whether a caller asked for nodes and got none
   */
  public record Surroundings(boolean firstStart, int servingPeers, boolean callersWait) {}

  /** Limits of one role. */
  private record Limits(long elapsedMs, long processorMs) {}

  /**
   * A node of 0.12 cores takes some 8 s of its recovery time, 12 to 15 s, for the start itself.
   * What is left allows this much; meanwhile callers are served by the other nodes.
   */
  private static final Limits OTHERS_SERVE = new Limits(3_000, 1_200);

  /** Requests are served again as soon as without a warm-up. */
  private static final Limits ALONE = new Limits(0, 0);

  /**
   * With the options of a deployed node, 130 calls; later ones cost a fifth of the first twenty.
   */
  private static final long FIRST_START_PROCESSOR_MS = 2_500;

  /** Number of rounds in each of the two groups that are compared. */
  private static final int GROUP_SIZE = 4;

  /**
   * Rounds before their costs are compared. A method that runs once a call is compiled after 20
   * calls with the options of a deployed node, so that the cost of the first rounds falls in steps.
   */
  private static final int MIN_ROUNDS = 24;

  /** Rounds have settled if the newer group costs at least this fraction of the older one. */
  private static final double SETTLED_RATIO = 0.9;

  /** Pause after each round, as a fraction of its duration; leaves time for the node's duties. */
  private static final double PAUSE_RATIO = 0.1;

  private final Clock clock;
  private final Limits firstStart;
  private final long startedMs;
  private final long startProcessorMs;
  private final ArrayDeque<Long> roundCostsMs = new ArrayDeque<>();
  private long processorMsAtRound;
  private int rounds;

  private WarmUpPolicy(Clock clock, long maxMs, long processorMs) {
    this.clock = clock;
    firstStart = new Limits(maxMs, FIRST_START_PROCESSOR_MS);
    startedMs = clock.nowMs();
    startProcessorMs = processorMs;
    processorMsAtRound = processorMs;
  }

  /**
   * Begins a warm-up.
   *
   * @param maxMs longest warm-up of the first start of a deployment; zero for none at all
   * @param processorMs processor time that the process has used so far
   */
  public static WarmUpPolicy begin(Clock clock, long maxMs, long processorMs) {
    return new WarmUpPolicy(clock, maxMs, processorMs);
  }

  /**
   * Returns why the warm-up ends before the next call, or empty if it goes on.
   *
   * @param totalProcessorMs processor time that the process has used so far
   */
  public Optional<End> end(Surroundings surroundings, long totalProcessorMs) {
    if (firstStart.elapsedMs() <= 0) {
      return Optional.of(End.OFF);
    }
    if (surroundings.callersWait() && surroundings.servingPeers() == 0) {
      return Optional.of(End.CALLERS_WAIT);
    }
    if (elapsedMs() >= maxMs(surroundings)) {
      return Optional.of(End.ELAPSED_LIMIT);
    }
    if (totalProcessorMs - startProcessorMs >= limits(surroundings).processorMs()) {
      return Optional.of(End.PROCESSOR_LIMIT);
    }
    return hasSettled() ? Optional.of(End.SETTLED) : Optional.empty();
  }

  /** Returns the longest duration of the warm-up. */
  public long maxMs(Surroundings surroundings) {
    return Math.min(firstStart.elapsedMs(), limits(surroundings).elapsedMs());
  }

  private Limits limits(Surroundings surroundings) {
    return switch (role(surroundings)) {
      case FIRST_START -> firstStart;
      case OTHERS_SERVE -> OTHERS_SERVE;
      case ALONE -> ALONE;
    };
  }

  private static Role role(Surroundings surroundings) {
    if (surroundings.firstStart()) {
      return Role.FIRST_START;
    }
    return surroundings.servingPeers() > 0 ? Role.OTHERS_SERVE : Role.ALONE;
  }

  /**
   * Records a round.
   *
   * @param totalProcessorMs processor time that the process has used so far
   */
  public void onRound(long totalProcessorMs) {
    rounds++;
    roundCostsMs.add(totalProcessorMs - processorMsAtRound);
    processorMsAtRound = totalProcessorMs;
    if (roundCostsMs.size() > 2 * GROUP_SIZE) {
      roundCostsMs.remove();
    }
  }

  /** Returns the pause before the next round, after one that took {@code roundMs}. */
  public static long pauseMs(long roundMs) {
    return (long) (PAUSE_RATIO * roundMs);
  }

  /** Returns the time since the begin. */
  public long elapsedMs() {
    return clock.nowMs() - startedMs;
  }

  private boolean hasSettled() {
    if (rounds < MIN_ROUNDS) {
      return false;
    }
    Iterator<Long> costs = roundCostsMs.iterator();
    long olderMs = sumOfNext(costs);
    return sumOfNext(costs) >= SETTLED_RATIO * olderMs;
  }

  private static long sumOfNext(Iterator<Long> costs) {
    long sumMs = 0;
    for (int i = 0; i < GROUP_SIZE; i++) {
      sumMs += costs.next();
    }
    return sumMs;
  }
}
