package org.currantslip.node.caller;

import java.util.function.Predicate;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.ServiceSettings;

/**
 * Bounds of the front door.
 *
 * @param host address to listen on
 * @param port port to listen on, zero for any
 * @param maxBodyBytes longest body
 * @param maxHeldBodyBytes most bytes of bodies of all requests at once
 * @param maxHeaderBytes longest header block
 * @param maxConnections most connections at once
 * @param maxInFlight most requests at once
 * @param maxPendingBytes most bytes that wait for a slow caller
 * @param headerMs longest time for the whole header of a request
 * @param bodyMs longest time for the whole body of a request
 * @param idleMs time without a byte after which a connection is closed
 * @param deadlineMs deadline of a request that names none
 * @param entryTtlMs time for which a caller may keep an entry answer
 * @param isService whether a plain service of this name is known
 */
public record CallerOptions(
    String host,
    int port,
    int maxBodyBytes,
    long maxHeldBodyBytes,
    int maxHeaderBytes,
    int maxConnections,
    int maxInFlight,
    long maxPendingBytes,
    long headerMs,
    long bodyMs,
    long idleMs,
    long deadlineMs,
    long entryTtlMs,
    Predicate<String> isService) {

  private static final long MAX_HELD_BODY_BYTES = 64L << 20;
  private static final long MAX_PENDING_BYTES = 1 << 20;
  private static final long HEADER_MS = 10_000;
  private static final long BODY_MS = 60_000;
  private static final long IDLE_MS = 30_000;

  /** Returns the bounds that the settings name. */
  public static CallerOptions from(NodeSettings settings) {
    var services = settings.getServiceList().stream().map(ServiceSettings::getName).toList();
    return new CallerOptions(
        settings.getCaller().getHost(),
        settings.getCaller().getPort(),
        settings.getLimits().getMaxBodyBytes(),
        Math.max(MAX_HELD_BODY_BYTES, settings.getLimits().getMaxBodyBytes()),
        settings.getLimits().getMaxHeaderBytes(),
        settings.getLimits().getMaxConnections(),
        settings.getLimits().getMaxInFlight(),
        MAX_PENDING_BYTES,
        HEADER_MS,
        BODY_MS,
        IDLE_MS,
        settings.getTimeouts().getRequestDeadlineMs(),
        settings.getTimeouts().getEntryTtlMs(),
        services::contains);
  }
}
