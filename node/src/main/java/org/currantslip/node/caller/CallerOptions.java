package org.currantslip.node.caller;

import java.util.function.Predicate;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.ServiceSettings;

/**
 * Limits and timeouts of the caller server.
 *
 * @param host address to listen on
 * @param port port to listen on; 0 selects a free port
 * @param maxBodyBytes maximum size of a request body
 * @param maxTotalBodyBytes maximum total size of the buffered request bodies
 * @param maxHeaderBytes maximum size of the request headers
 * @param maxConnections maximum number of concurrent connections
 * @param maxInFlight maximum number of concurrent requests
 * @param maxPendingBytes maximum size of the unsent stream data of a response
 * @param headerTimeoutMs timeout for receiving the complete request headers
 * @param bodyTimeoutMs timeout for receiving the complete request body
 * @param idleTimeoutMs idle time after which a connection is closed
 * @param deadlineMs time limit of a request that specifies no deadline
 * @param entryTtlMs time for which a caller may cache the list of entry nodes
 * @param closeTimeoutMs maximum time to close the connections when the server stops
 * @param isService tests whether a service of this name is configured
 */
public record CallerOptions(
    String host,
    int port,
    int maxBodyBytes,
    long maxTotalBodyBytes,
    int maxHeaderBytes,
    int maxConnections,
    int maxInFlight,
    long maxPendingBytes,
    long headerTimeoutMs,
    long bodyTimeoutMs,
    long idleTimeoutMs,
    long deadlineMs,
    long entryTtlMs,
    long closeTimeoutMs,
    Predicate<String> isService) {

  private static final long MIN_TOTAL_BODY_BYTES = 64L << 20;
  private static final long MAX_PENDING_BYTES = 1 << 20;
  private static final long HEADER_TIMEOUT_MS = 10_000;
  private static final long BODY_TIMEOUT_MS = 60_000;
  private static final long IDLE_TIMEOUT_MS = 30_000;
  private static final long CLOSE_TIMEOUT_MS = 1_000;

  /** Creates the options from the settings of a node. */
  public static CallerOptions from(NodeSettings settings) {
    var serviceNames = settings.getServiceList().stream().map(ServiceSettings::getName).toList();
    return new CallerOptions(
        settings.getCaller().getHost(),
        settings.getCaller().getPort(),
        settings.getLimits().getMaxBodyBytes(),
        Math.max(MIN_TOTAL_BODY_BYTES, settings.getLimits().getMaxBodyBytes()),
        settings.getLimits().getMaxHeaderBytes(),
        settings.getLimits().getMaxConnections(),
        settings.getLimits().getMaxInFlight(),
        MAX_PENDING_BYTES,
        HEADER_TIMEOUT_MS,
        BODY_TIMEOUT_MS,
        IDLE_TIMEOUT_MS,
        settings.getTimeouts().getRequestDeadlineMs(),
        settings.getTimeouts().getEntryTtlMs(),
        CLOSE_TIMEOUT_MS,
        serviceNames::contains);
  }
}
