package org.currantslip.node.caller;

import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.RouterRequest;

/** Receives validated requests on the decision thread. */
@FunctionalInterface
public interface CallerRequests {
  /**
   * Returns the time by which a request must be answered; called before it starts, on any thread.
   */
  default long responseDueMs(RouterRequest request) {
    return request.deadlineMs();
  }

  /** Starts a request; returns the task to run if its caller disconnects. */
  Runnable start(RouterRequest request, CallerSink sink);
}
