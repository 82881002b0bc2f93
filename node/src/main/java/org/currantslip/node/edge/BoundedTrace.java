package org.currantslip.node.edge;

import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.request.RequestTrace;
import org.currantslip.node.log.EventLog;

/**
 * Writes decisions on requests to the log, with a bound on lines a second.
 *
 * <p>Failures have a bound of their own, so that successes never take their place. What was left
 * out is counted and told.
 */
final class BoundedTrace implements RequestTrace {
  private static final long SPAN_MS = 1_000;

  /** A line costs about 30 microseconds of processor time: together about 2% of a core. */
  private static final int FAILURES_PER_SPAN = 200;

  private static final int OTHERS_PER_SPAN = 200;

  private final Clock clock;
  private long spanStartMs;
  private int failures;
  private int others;
  private int leftOut;

  private BoundedTrace(Clock clock) {
    this.clock = clock;
  }

  static BoundedTrace create(Clock clock) {
    return new BoundedTrace(clock);
  }

  @Override
  public void record(LogEvent event, String requestId, Supplier<String> fields) {
    turnSpan();
    boolean failure = event.level().compareTo(LogEvent.Level.WARN) >= 0;
    boolean room = failure ? failures++ < FAILURES_PER_SPAN : others++ < OTHERS_PER_SPAN;
    if (!room) {
      leftOut++;
    } else if (EventLog.isOn(event)) {
      EventLog.write(event, "request=" + requestId + " " + fields.get());
    }
  }

  private void turnSpan() {
    long nowMs = clock.nowMs();
    if (nowMs - spanStartMs < SPAN_MS) {
      return;
    }
    if (leftOut > 0) {
      EventLog.write(LogEvent.LINES_LEFT_OUT, "lines=" + leftOut);
    }
    spanStartMs = nowMs;
    failures = 0;
    others = 0;
    leftOut = 0;
  }
}
