package org.currantslip.node.edge;

import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import org.currantslip.core.allowance.AllowanceOptions;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.membership.MembershipOptions;
import org.currantslip.core.membership.PlannedStop;
import org.currantslip.core.relay.RelayOptions;
import org.currantslip.node.caller.CallerOptions;
import org.currantslip.node.peer.PeerOptions;
import org.currantslip.schema.DomainRegionSettings;
import org.currantslip.schema.EdgeSettings;

/** Derives the limits and timeouts of an edge node from its settings. */
final class EdgeOptions {
  private static final double MS_PER_S = 1_000;

  /** Most of the work of an idle node; changes of the configuration do not wait for it. */
  private static final long HEARTBEAT_INTERVAL_MS = 600;

  /**
   * With {@link #PEER_TIMEOUT_MS}, a dead peer leaves the directory after less than three seconds,
   * within the time for which callers keep directory responses.
   */
  private static final long SUSPICION_MS = 1_500;

  private static final long PEER_TIMEOUT_MS = 1_000;

  /** Callers may keep directory responses for this multiple of the TTL. */
  private static final int TTL_OVERRUN_FACTOR = 3;

  /**
   * Longest time for which a stopping node accepts new requests. Streams that begin later than 3 s
   * after SIGTERM may outlast the grace period and would be cut off.
   */
  private static final double MAX_LEAVING_MS = 2_700;

  /** Fraction of the grace period after which the connections to callers are closed. */
  private static final double GRACE_FRACTION = 0.9;

  /** Fraction of the grace period within which these connections have to be closed. */
  private static final double CLOSE_FRACTION = 0.05;

  private static final long MARK_TIMEOUT_MS = 200;

  /**
   * Short, so that callers learn of lost nodes soon; the cost is low, as a response has a few
   * hundred bytes.
   */
  private static final double MAX_DIRECTORY_TTL_S = 1.5;

  /** The warm-up's own calls are complete when its server stops. */
  private static final long WARM_UP_CLOSE_TIMEOUT_MS = 100;

  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final long MAX_TOTAL_BODY_BYTES = 48L << 20;
  private static final int MAX_HEADER_BYTES = 64 << 10;
  private static final int MAX_CONNECTIONS = 2_500;
  private static final int MAX_IN_FLIGHT = 1_500;
  private static final long MAX_PENDING_BYTES = 1 << 20;
  private static final long HEADER_TIMEOUT_MS = 10_000;
  private static final long BODY_TIMEOUT_MS = 30_000;
  private static final long IDLE_TIMEOUT_MS = 60_000;
  private static final long DEFAULT_DEADLINE_MS = 600_000;
  private static final int MAX_FRAME_BYTES = 8 << 20;
  private static final int MAX_LINKS = 256;

  private EdgeOptions() {}

  static CallerOptions caller(EdgeSettings settings) {
    HostAndPort address = HostAndPort.fromString(settings.getListen().getCaller());
    return new CallerOptions(
        address.getHost(),
        address.getPort(),
        MAX_BODY_BYTES,
        MAX_TOTAL_BODY_BYTES,
        MAX_HEADER_BYTES,
        MAX_CONNECTIONS,
        MAX_IN_FLIGHT,
        MAX_PENDING_BYTES,
        HEADER_TIMEOUT_MS,
        BODY_TIMEOUT_MS,
        IDLE_TIMEOUT_MS,
        DEFAULT_DEADLINE_MS,
        (long) (directoryTtlS(settings) * MS_PER_S),
        (long) (CLOSE_FRACTION * settings.getStop().getGraceS() * MS_PER_S),
        service -> true);
  }

  /** Returns the options of the server that a starting node calls during its warm-up. */
  static CallerOptions warmUpCaller(EdgeSettings settings) {
    CallerOptions options = caller(settings);
    return new CallerOptions(
        "127.0.0.1",
        0,
        options.maxBodyBytes(),
        options.maxTotalBodyBytes(),
        options.maxHeaderBytes(),
        options.maxConnections(),
        options.maxInFlight(),
        options.maxPendingBytes(),
        options.headerTimeoutMs(),
        options.bodyTimeoutMs(),
        options.idleTimeoutMs(),
        options.deadlineMs(),
        options.entryTtlMs(),
        WARM_UP_CLOSE_TIMEOUT_MS,
        options.isService());
  }

  /** Returns the longest warm-up of a node. */
  static long maxWarmUpMs(EdgeSettings settings) {
    return (long) (settings.getWarmUp().getMaxS() * MS_PER_S);
  }

  static double directoryTtlS(EdgeSettings settings) {
    return Math.min(settings.getListen().getDirectoryTtlS(), MAX_DIRECTORY_TTL_S);
  }

  /**
   * Returns the options of the peer links. The store's address serves as the shared secret: the
   * platform's settings provide none, and its network contains only its own VMs.
   */
  static PeerOptions peer(EdgeSettings settings) {
    return new PeerOptions(
        settings.getHost(),
        settings.getListen().getPeerPort(),
        settings.getStore().getAddress(),
        MAX_FRAME_BYTES,
        MAX_LINKS,
        // Links that carry membership heartbeats need no separate keep-alive frames.
        PEER_TIMEOUT_MS,
        2 * PEER_TIMEOUT_MS);
  }

  static MembershipOptions membership() {
    return MembershipOptions.of(HEARTBEAT_INTERVAL_MS, PEER_TIMEOUT_MS)
        .withSuspicionMs(SUSPICION_MS);
  }

  static PlannedStop.Options stop(EdgeSettings settings) {
    double graceMs = settings.getStop().getGraceS() * MS_PER_S;
    double staleMs = TTL_OVERRUN_FACTOR * directoryTtlS(settings) * MS_PER_S;
    long leavingMs = (long) Math.min(Math.min(staleMs, MAX_LEAVING_MS), graceMs / 2);
    long drainMs = (long) (GRACE_FRACTION * graceMs) - leavingMs - MARK_TIMEOUT_MS;
    return new PlannedStop.Options(leavingMs, Math.max(0, drainMs), 0, MARK_TIMEOUT_MS);
  }

  static AllowanceOptions allowance(EdgeSettings settings) {
    var allowance = settings.getAllowance();
    return new AllowanceOptions(allowance.getColdExcess(), allowance.getColdSlack());
  }

  /** Returns the region of each failure domain that the settings name. */
  static ImmutableMap<String, String> regions(EdgeSettings settings) {
    return settings.getDomainList().stream()
        .collect(
            ImmutableMap.toImmutableMap(
                DomainRegionSettings::getName,
                DomainRegionSettings::getRegion,
                (first, second) -> second));
  }

  /** Returns whether the settings turn orders to evacuate failure domains on. */
  static boolean evacuatesOnOrder(EdgeSettings settings) {
    return settings.getEvacuation().getEffectMs() > 0;
  }

  static RelayOptions relay(EdgeSettings settings) {
    return RelayOptions.ofCores(
        settings.getLimits().getCores() * settings.getLimits().getCpuShare());
  }

  static RetryBudget.Bound retryBound(EdgeSettings settings) {
    var retry = settings.getRetry();
    return new RetryBudget.Bound(
        retry.getRatio(), retry.getSlack(), (long) (retry.getWindowS() * MS_PER_S));
  }
}
