package org.currantslip.node.caller;

import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Logs connections that this node closes with a request in them, limited to a number of lines per
 * second. Used by several threads.
 */
final class CloseLog {
  private static final long WINDOW_MS = 1_000;
  private static final int MAX_LINES_PER_WINDOW = 50;

  /** What makes the node close a connection. */
  enum Rule {
    IDLE,
    HEADER_TIMEOUT,
    BODY_TIMEOUT,
    TRUNCATED,
    PENDING_BYTES,
    STOP
  }

  private final Clock clock;
  private final Supplier<EntryView> entryView;
  private long windowStartMs;
  private int lineCount;
  private int droppedCount;

  private CloseLog(Clock clock, Supplier<EntryView> entryView) {
    this.clock = clock;
    this.entryView = entryView;
  }

  static CloseLog create(Clock clock, Supplier<EntryView> entryView) {
    return new CloseLog(clock, entryView);
  }

  /** Returns the description of a request whose header has just been read. */
  OpenRequest open(String id, long arrivedMs) {
    return OpenRequest.create(id, arrivedMs, entryView.get().configVersion());
  }

  /**
   * Logs a connection that is closed.
   *
   * @param request the request in it, or null if its header is incomplete
   */
  void record(Rule rule, @Nullable OpenRequest request) {
    long nowMs = clock.nowMs();
    if (!mayWrite(nowMs)) {
      return;
    }
    long versionNow = entryView.get().configVersion();
    EventLog.write(
        LogEvent.CONNECTION_CUT,
        request == null
            ? "rule=%s config_version=%d".formatted(rule, versionNow)
            : "request=%s rule=%s age_ms=%d arrival_version=%d config_version=%d"
                .formatted(
                    request.id(),
                    rule,
                    nowMs - request.arrivedMs(),
                    request.configVersion(),
                    versionNow));
  }

  private synchronized boolean mayWrite(long nowMs) {
    if (nowMs - windowStartMs >= WINDOW_MS) {
      if (droppedCount > 0) {
        EventLog.write(LogEvent.LINES_LEFT_OUT, "lines=" + droppedCount);
      }
      windowStartMs = nowMs;
      lineCount = 0;
      droppedCount = 0;
    }
    if (lineCount < MAX_LINES_PER_WINDOW) {
      lineCount++;
      return true;
    }
    droppedCount++;
    return false;
  }
}
