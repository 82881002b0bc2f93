package org.currantslip.node.duty;

import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;

/** A step of a tick. */
public final class TickStep {
  private TickStep() {}

  /** Runs a step; one that fails is logged and does not keep later steps from running. */
  public static void run(String name, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | Error e) {
      EventLog.write(LogEvent.TASK_FAILED, "step=" + name, e);
    }
  }
}
