package org.currantslip.node.caller;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.currantslip.core.common.Clock;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Closes connections whose request arrives too slowly.
 *
 * <p>Each received byte restarts the idle timeout, so a caller that sends single bytes could occupy
 * a connection indefinitely. This guard limits the time for the complete headers and for the
 * complete body.
 */
final class SlowRequestGuard extends AbstractLifeCycle implements Connection.Listener {
  /** Short compared with the timeouts; each scan wakes an idle node up. */
  private static final long SCAN_INTERVAL_MS = 500;

  private static final long NOT_STARTED = -1;

  private enum Phase {
    HEADER,
    BODY,
    RESPONSE
  }

  /** Progress of the current request on one connection. */
  private static final class RequestProgress {
    private Phase phase = Phase.HEADER;
    private long startBytes;
    private long startMs = NOT_STARTED;
    private @Nullable OpenRequest request;

    private synchronized void enter(
        Phase next, @Nullable OpenRequest current, long bytes, long nowMs) {
      phase = next;
      request = current;
      startBytes = bytes;
      startMs = next == Phase.BODY ? nowMs : NOT_STARTED;
    }

    /** Bytes that were read with the request before belong to the next one. */
    private synchronized void startIfPipelined(boolean pipelined, long nowMs) {
      if (pipelined && phase == Phase.HEADER) {
        startMs = nowMs;
      }
    }

    private synchronized @Nullable OpenRequest request() {
      return request;
    }

    private synchronized CloseLog.Rule timeoutRule() {
      return phase == Phase.HEADER ? CloseLog.Rule.HEADER_TIMEOUT : CloseLog.Rule.BODY_TIMEOUT;
    }

    private synchronized boolean isBetweenRequests(long bytes) {
      return phase == Phase.HEADER && startMs == NOT_STARTED && bytes == startBytes;
    }

    private synchronized boolean isTimedOut(
        long bytes, long nowMs, long headerTimeoutMs, long bodyTimeoutMs) {
      if (phase == Phase.HEADER && startMs == NOT_STARTED && bytes > startBytes) {
        startMs = nowMs;
      }
      long timeoutMs = phase == Phase.HEADER ? headerTimeoutMs : bodyTimeoutMs;
      return phase != Phase.RESPONSE && startMs != NOT_STARTED && nowMs - startMs >= timeoutMs;
    }
  }

  private final Map<Connection, RequestProgress> progressByConnection = new ConcurrentHashMap<>();
  private final Scheduler scheduler;
  private final Clock clock;
  private final CloseLog closeLog;
  private final long headerTimeoutMs;
  private final long bodyTimeoutMs;

  private SlowRequestGuard(
      Scheduler scheduler,
      Clock clock,
      CloseLog closeLog,
      long headerTimeoutMs,
      long bodyTimeoutMs) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.closeLog = closeLog;
    this.headerTimeoutMs = headerTimeoutMs;
    this.bodyTimeoutMs = bodyTimeoutMs;
  }

  static SlowRequestGuard create(
      Scheduler scheduler,
      Clock clock,
      CloseLog closeLog,
      long headerTimeoutMs,
      long bodyTimeoutMs) {
    return new SlowRequestGuard(scheduler, clock, closeLog, headerTimeoutMs, bodyTimeoutMs);
  }

  @Override
  protected void doStart() {
    scheduler.schedule(this::scan, SCAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void onOpened(Connection connection) {
    progressByConnection.put(connection, new RequestProgress());
  }

  @Override
  public void onClosed(Connection connection) {
    progressByConnection.remove(connection);
  }

  /** Returns whether no byte of a further request has been read from this connection. */
  boolean isBetweenRequests(Connection connection) {
    RequestProgress progress = progressByConnection.get(connection);
    return progress != null && progress.isBetweenRequests(connection.getBytesIn());
  }

  /** Called when the headers of a request are complete and its body follows. */
  void onHeader(Connection connection, OpenRequest request) {
    enter(connection, Phase.BODY, request);
  }

  /** Called when the body of a request is complete. */
  void onBody(Connection connection, OpenRequest request) {
    enter(connection, Phase.RESPONSE, request);
  }

  /** Called when the response is complete and the next request may follow. */
  void onResponse(Connection connection) {
    enter(connection, Phase.HEADER, null);
    RequestProgress progress = progressByConnection.get(connection);
    if (progress != null && connection instanceof HttpConnection http) {
      progress.startIfPipelined(!http.isRequestBufferEmpty(), clock.nowMs());
    }
  }

  /** Logs the requests that are cut off when the server stops. */
  void logOpenRequests() {
    progressByConnection.values().stream()
        .map(RequestProgress::request)
        .filter(Objects::nonNull)
        .forEach(request -> closeLog.record(CloseLog.Rule.STOP, request));
  }

  private void enter(Connection connection, Phase phase, @Nullable OpenRequest request) {
    RequestProgress progress = progressByConnection.get(connection);
    if (progress != null) {
      progress.enter(phase, request, connection.getBytesIn(), clock.nowMs());
    }
  }

  private void scan() {
    long nowMs = clock.nowMs();
    progressByConnection.forEach(
        (connection, progress) -> {
          if (progress.isTimedOut(connection.getBytesIn(), nowMs, headerTimeoutMs, bodyTimeoutMs)) {
            closeLog.record(progress.timeoutRule(), progress.request());
            connection.getEndPoint().close();
          }
        });
    if (isRunning()) {
      scheduler.schedule(this::scan, SCAN_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }
}
