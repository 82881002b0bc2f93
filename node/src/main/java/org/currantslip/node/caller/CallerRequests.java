package org.currantslip.node.caller;

import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.RouterRequest;

/** Takes checked requests; called on the decision thread. */
@FunctionalInterface
public interface CallerRequests {
  /** Starts a request and returns what to run when its caller hangs up. */
  Runnable start(RouterRequest request, CallerSink sink);
}
