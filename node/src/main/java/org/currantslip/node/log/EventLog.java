package org.currantslip.node.log;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import java.util.logging.Level;
import org.currantslip.core.common.LogEvent;

/**
 * Writes numbered events to the log.
 *
 * <p>Lines are passed to the logger whole: one that parses a format string at each call costs more.
 */
@SuppressWarnings({"FloggerLogString", "FloggerSplitLogStatement"})
public final class EventLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Its lines are encoded but not written, see {@link DiscardingAppender}. */
  private static final class Discarded {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private Discarded() {}
  }

  /**
   * The calling line is not logged; without this value, each call would search the stack for it.
   */
  private static final LogSite NO_SITE = LogSite.INVALID;

  private EventLog() {}

  /** Returns the name of the logger whose lines are not written, as Flogger forms it. */
  static String discardedLoggerName() {
    return Discarded.class.getName().replace('$', '.');
  }

  /** Formats and encodes an event like {@link #write(LogEvent, String)}, but writes nothing. */
  public static void format(LogEvent event, String fields) {
    Discarded.logger.at(levelOf(event)).withInjectedLogSite(NO_SITE).log(line(event, fields));
  }

  /** Writes an event with its fields, such as {@code node=entry-1}. */
  public static void write(LogEvent event, String fields) {
    FluentLogger.Api log = logger.at(levelOf(event));
    if (log.isEnabled()) {
      log.withInjectedLogSite(NO_SITE).log(line(event, fields));
    }
  }

  /** Writes an event with its fields and cause. */
  public static void write(LogEvent event, String fields, Throwable cause) {
    FluentLogger.Api log = logger.at(levelOf(event));
    if (log.isEnabled()) {
      log.withInjectedLogSite(NO_SITE).withCause(cause).log(line(event, fields));
    }
  }

  private static String line(LogEvent event, String fields) {
    return event.number() + " " + event + " " + fields;
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
