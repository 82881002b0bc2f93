package org.currantslip.node.edge;

import com.google.common.net.HostAndPort;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.membership.MembershipOptions;
import org.currantslip.core.membership.PlannedStop;
import org.currantslip.node.caller.CallerOptions;
import org.currantslip.node.peer.PeerOptions;
import org.currantslip.schema.EdgeSettings;

/** Bounds of an edge node, from its settings. */
final class EdgeOptions {
  private static final double MS_PER_S = 1_000;

  /** A dead peer leaves the directory after about two seconds, well within its answers' life. */
  private static final long HEARTBEAT_MS = 400;

  private static final long PEER_SILENT_MS = 1_000;

  /** Callers that keep answers longer than told come back this many times later. */
  private static final int TTL_OVERSTAY = 3;

  /**
   * Longest time spent on callers that still come. Streams that begin later than 3 s after SIGTERM
   * may outlast the grace, and would be cut.
   */
  private static final double MAX_LEAVING_MS = 2_700;

  /** Part of the grace by which everything has to be over. */
  private static final double STOPPED_SHARE = 0.9;

  private static final long MARK_MS = 200;

  /** Short, so that callers hear of lost nodes soon; an answer is a few hundred bytes. */
  private static final double DIRECTORY_TTL_S = 1.5;

  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final long MAX_HELD_BODY_BYTES = 48L << 20;
  private static final int MAX_HEADER_BYTES = 64 << 10;
  private static final int MAX_CONNECTIONS = 2_500;
  private static final int MAX_IN_FLIGHT = 1_500;
  private static final long MAX_PENDING_BYTES = 1 << 20;
  private static final long HEADER_MS = 10_000;
  private static final long BODY_MS = 30_000;
  private static final long IDLE_MS = 60_000;
  private static final long DEADLINE_MS = 600_000;
  private static final int MAX_FRAME_BYTES = 8 << 20;
  private static final int MAX_LINKS = 256;

  private EdgeOptions() {}

  static CallerOptions caller(EdgeSettings settings) {
    HostAndPort address = HostAndPort.fromString(settings.getListen().getCaller());
    return new CallerOptions(
        address.getHost(),
        address.getPort(),
        MAX_BODY_BYTES,
        MAX_HELD_BODY_BYTES,
        MAX_HEADER_BYTES,
        MAX_CONNECTIONS,
        MAX_IN_FLIGHT,
        MAX_PENDING_BYTES,
        HEADER_MS,
        BODY_MS,
        IDLE_MS,
        DEADLINE_MS,
        (long) (directoryTtlS(settings) * MS_PER_S),
        service -> true);
  }

  static double directoryTtlS(EdgeSettings settings) {
    return Math.min(settings.getListen().getDirectoryTtlS(), DIRECTORY_TTL_S);
  }

  /** The platform's network holds only its own VMs, and its settings give nodes no secret. */
  static PeerOptions peer(EdgeSettings settings) {
    return new PeerOptions(
        settings.getHost(),
        settings.getListen().getPeerPort(),
        settings.getStore().getAddress(),
        MAX_FRAME_BYTES,
        MAX_LINKS,
        // Links that carry heartbeats need no pings of their own.
        PEER_SILENT_MS,
        2 * PEER_SILENT_MS);
  }

  static MembershipOptions membership() {
    return MembershipOptions.of(HEARTBEAT_MS, PEER_SILENT_MS);
  }

  static PlannedStop.Options stop(EdgeSettings settings) {
    double graceMs = settings.getStop().getGraceS() * MS_PER_S;
    double staleMs = TTL_OVERSTAY * directoryTtlS(settings) * MS_PER_S;
    long leavingMs = (long) Math.min(Math.min(staleMs, MAX_LEAVING_MS), graceMs / 2);
    long drainMs = (long) (STOPPED_SHARE * graceMs) - leavingMs - MARK_MS;
    return new PlannedStop.Options(leavingMs, Math.max(0, drainMs), 0, MARK_MS);
  }

  static RetryBudget.Bound retries(EdgeSettings settings) {
    var retry = settings.getRetry();
    return new RetryBudget.Bound(
        retry.getRatio(), retry.getSlack(), (long) (retry.getWindowS() * MS_PER_S));
  }
}
