package org.currantslip.node.edge;

import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;

/**
 * Opens the callers' port of a starting node once the node can serve requests.
 *
 * <p>Until then connections are refused, so that callers turn to another node at once. A node that
 * does not learn in time what it needs opens its port all the same, and refuses requests itself.
 */
final class CallerPort {
  /** Opens the port; may block. */
  interface Opener {
    void open() throws Exception;
  }

  private enum State {
    CLOSED,
    OPENING,
    OPEN,
    FAILED
  }

  private final Clock clock;
  private final long openByMs;
  private final Opener opener;
  private volatile State state = State.CLOSED;

  private CallerPort(Clock clock, long openByMs, Opener opener) {
    this.clock = clock;
    this.openByMs = openByMs;
    this.opener = opener;
  }

  /** Returns a closed port that begins to open at the latest {@code maxClosedMs} from now. */
  static CallerPort create(Clock clock, long maxClosedMs, Opener opener) {
    return new CallerPort(clock, clock.nowMs() + maxClosedMs, opener);
  }

  /** Opens the port on a thread of its own when it is time. */
  void tick(boolean canServe) {
    if (state == State.CLOSED && (canServe || clock.nowMs() >= openByMs)) {
      state = State.OPENING;
      new Thread(this::open, "caller-port").start();
    }
  }

  private void open() {
    try {
      opener.open();
      state = State.OPEN;
    } catch (Exception | Error e) {
      EventLog.write(LogEvent.TASK_FAILED, "thread=caller-port", e);
      state = State.FAILED;
    }
  }

  boolean isOpen() {
    return state == State.OPEN;
  }

  boolean hasFailed() {
    return state == State.FAILED;
  }
}
