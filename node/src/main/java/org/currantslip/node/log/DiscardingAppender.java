package org.currantslip.node.log;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.encoder.Encoder;

/** Encodes events without writing them, for the warm-up of a starting node. */
final class DiscardingAppender extends AppenderBase<ILoggingEvent> {
  private final Encoder<ILoggingEvent> encoder;

  private DiscardingAppender(Encoder<ILoggingEvent> encoder) {
    this.encoder = encoder;
  }

  /** Directs the lines of {@link EventLog#format} to an appender of this class. */
  static void attach(LoggerContext context, Encoder<ILoggingEvent> encoder) {
    DiscardingAppender appender = new DiscardingAppender(encoder);
    appender.setContext(context);
    appender.start();
    Logger logger = context.getLogger(EventLog.discardedLoggerName());
    logger.setAdditive(false);
    logger.addAppender(appender);
  }

  @Override
  protected void append(ILoggingEvent event) {
    byte[] unused = encoder.encode(event);
  }
}
