package org.currantslip.node.edge;

import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.request.RequestTrace;
import org.currantslip.node.log.EventLog;

/**
 * Logs events of requests and endpoints, limited to a number of lines per second.
 *
 * <p>Failures have a separate limit, so that other events cannot crowd them out. Dropped lines are
 * counted, and the count is logged when the next window starts.
 */
final class RateLimitedTrace implements RequestTrace {
  private static final long WINDOW_MS = 1_000;

  /** A line takes about 30 microseconds of CPU time; both limits together about 2% of a core. */
  private static final int MAX_FAILURES_PER_WINDOW = 200;

  private static final int MAX_OTHERS_PER_WINDOW = 200;

  private final Clock clock;
  private final BiConsumer<LogEvent, String> log;
  private long windowStartMs;
  private int failureCount;
  private int otherCount;
  private int droppedCount;

  private RateLimitedTrace(Clock clock, BiConsumer<LogEvent, String> log) {
    this.clock = clock;
    this.log = log;
  }

  static RateLimitedTrace create(Clock clock) {
    return create(clock, EventLog::write);
  }

  /** Creates a trace that passes its lines to {@code log}. */
  static RateLimitedTrace create(Clock clock, BiConsumer<LogEvent, String> log) {
    return new RateLimitedTrace(clock, log);
  }

  @Override
  public void record(LogEvent event, String requestId, Supplier<String> fields) {
    record(event, () -> "request=" + requestId + " " + fields.get());
  }

  /** Logs an event that concerns no single request. */
  void record(LogEvent event, Supplier<String> fields) {
    startWindowIfDue();
    boolean failure = event.level().compareTo(LogEvent.Level.WARN) >= 0;
    boolean allowed =
        failure ? failureCount++ < MAX_FAILURES_PER_WINDOW : otherCount++ < MAX_OTHERS_PER_WINDOW;
    if (!allowed) {
      droppedCount++;
    } else if (EventLog.isOn(event)) {
      log.accept(event, fields.get());
    }
  }

  private void startWindowIfDue() {
    long nowMs = clock.nowMs();
    if (nowMs - windowStartMs < WINDOW_MS) {
      return;
    }
    if (droppedCount > 0) {
      log.accept(LogEvent.LINES_LEFT_OUT, "lines=" + droppedCount);
    }
    windowStartMs = nowMs;
    failureCount = 0;
    otherCount = 0;
    droppedCount = 0;
  }
}
