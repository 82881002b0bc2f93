package org.currantslip.core.request;

import java.util.function.Supplier;
import org.currantslip.core.common.LogEvent;

/** Receives the decisions made for a request, for later diagnosis of failures. */
@FunctionalInterface
public interface RequestTrace {
  /** Records a decision; {@code fields} is evaluated only if the event is logged. */
  void record(LogEvent event, String requestId, Supplier<String> fields);
}
