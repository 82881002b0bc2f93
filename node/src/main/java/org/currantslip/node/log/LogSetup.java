package org.currantslip.node.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.currantslip.schema.LogSettings;
import org.slf4j.LoggerFactory;

/**
 * Puts the log's format and level in place.
 *
 * <p>The level holds for this project's code alone. Libraries stay at warnings, as their debug
 * output shows whole requests with their tokens.
 */
public final class LogSetup {
  private static final String TEXT = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %level %msg%n";
  private static final String PROJECT = "org.currantslip";
  private static final int QUEUE_ENTRIES = 4_096;
  private static final int FLUSH_MS = 2_000;

  private LogSetup() {}

  /** Applies the settings; the log goes to the standard output. */
  public static void apply(LogSettings settings) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder =
        settings.getFormat().equals("text") ? text(context) : JsonLineEncoder.create();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.out");
    appender.setEncoder(encoder);
    appender.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.addAppender(async(context, appender));
    root.setLevel(Level.WARN);
    context.getLogger(PROJECT).setLevel(Level.toLevel(settings.getLevel(), Level.INFO));
  }

  /** Writes out what waits; nothing is logged after it. */
  public static void stop() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  /** Returns an appender with a thread of its own, so that a stuck stream holds up no duty. */
  private static AsyncAppender async(LoggerContext context, Appender<ILoggingEvent> target) {
    AsyncAppender appender = new AsyncAppender();
    appender.setContext(context);
    appender.setName("log");
    appender.setQueueSize(QUEUE_ENTRIES);
    appender.setNeverBlock(true);
    appender.setMaxFlushTime(FLUSH_MS);
    appender.addAppender(target);
    appender.start();
    return appender;
  }

  private static PatternLayoutEncoder text(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(TEXT);
    return encoder;
  }
}
