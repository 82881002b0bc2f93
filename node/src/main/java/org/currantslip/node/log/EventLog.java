package org.currantslip.node.log;

import com.google.common.flogger.FluentLogger;
import java.util.logging.Level;
import org.currantslip.core.common.LogEvent;

/** Writes numbered events to the log. */
public final class EventLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Its lines are encoded but not written, see {@link DiscardingAppender}. */
  private static final class Discarded {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private Discarded() {}
  }

  private EventLog() {}

  /** Returns the name of the logger whose lines are not written, as Flogger forms it. */
  static String discardedLoggerName() {
    return Discarded.class.getName().replace('$', '.');
  }

  /** Formats and encodes an event like {@link #write(LogEvent, String)}, but writes nothing. */
  public static void format(LogEvent event, String fields) {
    Discarded.logger.at(levelOf(event)).log("%d %s %s", event.number(), event, fields);
  }

  /** Writes an event with its fields, such as {@code node=entry-1}. */
  public static void write(LogEvent event, String fields) {
    logger.at(levelOf(event)).log("%d %s %s", event.number(), event, fields);
  }

  /** Writes an event with its fields and cause. */
  public static void write(LogEvent event, String fields, Throwable cause) {
    logger.at(levelOf(event)).withCause(cause).log("%d %s %s", event.number(), event, fields);
  }

  /** Returns whether an event would be logged, to avoid building costly fields in vain. */
  public static boolean isOn(LogEvent event) {
    return logger.at(levelOf(event)).isEnabled();
  }

  private static Level levelOf(LogEvent event) {
    return switch (event.level()) {
      case DEBUG -> Level.FINE;
      case INFO -> Level.INFO;
      case WARN -> Level.WARNING;
      case ERROR -> Level.SEVERE;
    };
  }
}
