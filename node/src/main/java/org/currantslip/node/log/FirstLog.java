package org.currantslip.node.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Initial logging configuration, which writes warnings as text to the standard error. {@link
 * LogSetup} replaces it once the settings are read.
 */
public final class FirstLog extends ContextAwareBase implements Configurator {
  private static final String TEXT_PATTERN =
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %level %logger{0} %msg%n";

  /** Creates the configurator; called by the service loader. */
  public FirstLog() {}

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(TEXT_PATTERN);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    DiscardingAppender.attach(context, encoder);
    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(appender);
    context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
