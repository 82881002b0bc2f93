package org.currantslip.core.membership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Timing and fan-out settings of the membership protocol.
 *
 * @param heartbeatMs interval between heartbeats to the same node
 * @param silentMs time without contact after which a monitored node is suspected
 * @param suspicionMs time within which a suspected node must show a sign of life before it counts
 *     as dead
 * @param goneAfterMs time for which the join record of a dead node must stay unchanged before the
 *     node is marked as gone
 * @param refreshMs interval between reads of all join records
 * @param domainTargets maximum number of heartbeat targets in the same failure domain
 * @param ringTargets maximum number of heartbeat targets in the whole fleet
 * @param maxGossip maximum number of node changes gossiped in one heartbeat
 */
public record MembershipOptions(
    long heartbeatMs,
    long silentMs,
    long suspicionMs,
    long goneAfterMs,
    long refreshMs,
    int domainTargets,
    int ringTargets,
    int maxGossip) {

  private static final long SUSPICION_HEARTBEATS = 4;
  private static final long GONE_AFTER_MS = 15_000;
  private static final long REFRESH_MS = 60_000;
  private static final int DOMAIN_TARGETS = 3;
  private static final int RING_TARGETS = 3;
  private static final int MAX_GOSSIP = 8;

  /** Validates the ranges. */
  public MembershipOptions {
    checkArgument(heartbeatMs > 0, "heartbeatMs must be positive: %s", heartbeatMs);
    checkArgument(
        silentMs > heartbeatMs, "silentMs must be greater than heartbeatMs: %s", silentMs);
    checkArgument(
        domainTargets > 0 && ringTargets > 0 && maxGossip > 0,
        "domainTargets, ringTargets and maxGossip must be positive");
  }

  /** Returns these options with another suspicion time. */
  public MembershipOptions withSuspicionMs(long ms) {
    return new MembershipOptions(
        heartbeatMs, silentMs, ms, goneAfterMs, refreshMs, domainTargets, ringTargets, maxGossip);
  }

  /** Returns options with the default fan-out. */
  public static MembershipOptions of(long heartbeatMs, long silentMs) {
    return new MembershipOptions(
        heartbeatMs,
        silentMs,
        SUSPICION_HEARTBEATS * heartbeatMs,
        GONE_AFTER_MS,
        REFRESH_MS,
        DOMAIN_TARGETS,
        RING_TARGETS,
        MAX_GOSSIP);
  }
}
