package org.currantslip.node.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.currantslip.core.common.Clock;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Closes connections whose request arrives byte by byte.
 *
 * <p>An idle timeout starts anew with each byte, so a caller could hold a connection for good. This
 * guard bounds the time for a whole header and for a whole body.
 */
final class SlowCallerGuard extends AbstractLifeCycle implements Connection.Listener {
  private static final long SCAN_MS = 100;
  private static final long NOT_SINCE = -1;

  private enum Phase {
    HEADER,
    BODY,
    ANSWER
  }

  /** Where one connection stands. */
  private static final class State {
    private Phase phase = Phase.HEADER;
    private long bytesBefore;
    private long sinceMs = NOT_SINCE;

    private synchronized void enter(Phase next, long bytes, long nowMs) {
      phase = next;
      bytesBefore = bytes;
      sinceMs = next == Phase.BODY ? nowMs : NOT_SINCE;
    }

    private synchronized boolean isLate(long bytes, long nowMs, long headerMs, long bodyMs) {
      if (phase == Phase.HEADER && sinceMs == NOT_SINCE && bytes > bytesBefore) {
        sinceMs = nowMs;
      }
      long mostMs = phase == Phase.HEADER ? headerMs : bodyMs;
      return phase != Phase.ANSWER && sinceMs != NOT_SINCE && nowMs - sinceMs >= mostMs;
    }
  }

  private final Map<Connection, State> states = new ConcurrentHashMap<>();
  private final Scheduler scheduler;
  private final Clock clock;
  private final long headerMs;
  private final long bodyMs;

  private SlowCallerGuard(Scheduler scheduler, Clock clock, long headerMs, long bodyMs) {
    this.scheduler = scheduler;
    this.clock = clock;
    this.headerMs = headerMs;
    this.bodyMs = bodyMs;
  }

  static SlowCallerGuard create(Scheduler scheduler, Clock clock, long headerMs, long bodyMs) {
    return new SlowCallerGuard(scheduler, clock, headerMs, bodyMs);
  }

  @Override
  protected void doStart() {
    scheduler.schedule(this::scan, SCAN_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void onOpened(Connection connection) {
    states.put(connection, new State());
  }

  @Override
  public void onClosed(Connection connection) {
    states.remove(connection);
  }

  /** The header of a request is complete; its body follows. */
  void onHeader(Connection connection) {
    enter(connection, Phase.BODY);
  }

  /** The body of a request is complete. */
  void onBody(Connection connection) {
    enter(connection, Phase.ANSWER);
  }

  /** The answer is complete; the next request may follow. */
  void onAnswer(Connection connection) {
    enter(connection, Phase.HEADER);
  }

  private void enter(Connection connection, Phase phase) {
    State state = states.get(connection);
    if (state != null) {
      state.enter(phase, connection.getBytesIn(), clock.nowMs());
    }
  }

  private void scan() {
    long nowMs = clock.nowMs();
    states.forEach(
        (connection, state) -> {
          if (state.isLate(connection.getBytesIn(), nowMs, headerMs, bodyMs)) {
            connection.getEndPoint().close();
          }
        });
    if (isRunning()) {
      scheduler.schedule(this::scan, SCAN_MS, TimeUnit.MILLISECONDS);
    }
  }
}
