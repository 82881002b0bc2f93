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
 * Configures the format and level of the log.
 *
 * <p>The level applies to this project's code only. Libraries always log at WARN, because their
 * debug output contains complete requests, including tokens.
 */
public final class LogSetup {
  private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %level %msg%n";
  private static final String PROJECT_LOGGER = "org.currantslip";
  private static final int QUEUE_CAPACITY = 4_096;
  private static final int FLUSH_TIMEOUT_MS = 2_000;

  private LogSetup() {}

  /** Applies the settings and directs the log to the standard output. */
  public static void apply(LogSettings settings) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder =
        settings.getFormat().equals("text") ? textEncoder(context) : JsonLineEncoder.create();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.out");
    appender.setEncoder(encoder);
    appender.start();
    DiscardingAppender.attach(context, encoder);
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.addAppender(asyncAppender(context, appender));
    root.setLevel(Level.WARN);
    context.getLogger(PROJECT_LOGGER).setLevel(Level.toLevel(settings.getLevel(), Level.INFO));
  }

  /** Flushes queued events and stops logging. */
  public static void stop() {
    ((LoggerContext) LoggerFactory.getILoggerFactory()).stop();
  }

  /** Creates an appender with its own thread, so that a blocked stream blocks no other thread. */
  private static AsyncAppender asyncAppender(
      LoggerContext context, Appender<ILoggingEvent> target) {
    AsyncAppender appender = new AsyncAppender();
    appender.setContext(context);
    appender.setName("log");
    appender.setQueueSize(QUEUE_CAPACITY);
    appender.setNeverBlock(true);
    appender.setMaxFlushTime(FLUSH_TIMEOUT_MS);
    appender.addAppender(target);
    appender.start();
    return appender;
  }

  private static PatternLayoutEncoder textEncoder(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(TEXT_PATTERN);
    return encoder;
  }
}
