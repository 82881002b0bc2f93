package org.currantslip.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timing and fan-out of the membership protocol.
 *
 * @param heartbeatMs time between two heartbeats to the same node
 * @param silentMs silence after which a watched node is suspected
 * @param suspicionMs time a suspected node has to be heard of before it counts as dead
 * @param goneAfterMs time for which the join record of a dead node has to stay unchanged before it
 *     is marked as gone
 * @param refreshMs time between two readings of the join records
 * @param domainTargets nodes of the own failure domain that get heartbeats, at most
 * @param ringTargets nodes of the whole fleet that get heartbeats, at most
 * @param maxNews changes told in one heartbeat, at most
 */
public record MembershipOptions(
    long heartbeatMs,
    long silentMs,
    long suspicionMs,
    long goneAfterMs,
    long refreshMs,
    int domainTargets,
    int ringTargets,
    int maxNews) {

  private static final long SUSPICION_HEARTBEATS = 4;
  private static final long GONE_AFTER_MS = 15_000;
  private static final long REFRESH_MS = 60_000;
  private static final int DOMAIN_TARGETS = 3;
  private static final int RING_TARGETS = 3;
  private static final int MAX_NEWS = 8;

  /** Checks the ranges. */
  public MembershipOptions {
    checkArgument(heartbeatMs > 0, "heartbeatMs: %s", heartbeatMs);
    checkArgument(silentMs > heartbeatMs, "silentMs: %s", silentMs);
    checkArgument(domainTargets > 0 && ringTargets > 0 && maxNews > 0, "zero fan-out");
  }

  /** Returns options with the usual fan-out. */
  public static MembershipOptions of(long heartbeatMs, long silentMs) {
    return new MembershipOptions(
        heartbeatMs,
        silentMs,
        SUSPICION_HEARTBEATS * heartbeatMs,
        GONE_AFTER_MS,
        REFRESH_MS,
        DOMAIN_TARGETS,
        RING_TARGETS,
        MAX_NEWS);
  }
}
