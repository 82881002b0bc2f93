package org.currantslip.core.request;

import java.util.function.Supplier;
import org.currantslip.core.common.LogEvent;

/** Takes the decisions that touch a request, for those who explain a failure afterwards. */
@FunctionalInterface
public interface RequestTrace {
  /** Notes a decision; {@code fields} is called only if the note is kept. */
  void note(LogEvent event, String requestId, Supplier<String> fields);
}
