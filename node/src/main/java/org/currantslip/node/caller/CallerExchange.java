package org.currantslip.node.caller;

import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.node.duty.DecisionThread;
import org.jspecify.annotations.Nullable;

/** Hands one request to the decision thread, and its caller's hang-up after it. */
final class CallerExchange {
  private final DecisionThread decisions;
  private final CallerRequests requests;
  private boolean gone;
  private @Nullable Runnable onGone;

  private CallerExchange(DecisionThread decisions, CallerRequests requests) {
    this.decisions = decisions;
    this.requests = requests;
  }

  static CallerExchange create(DecisionThread decisions, CallerRequests requests) {
    return new CallerExchange(decisions, requests);
  }

  /** Passes the request on; returns false when the decision thread has no room. */
  boolean offer(RouterRequest request, CallerSink sink) {
    return decisions.offerRequest(() -> start(request, sink));
  }

  void hangUp() {
    decisions.execute(this::leave);
  }

  private void start(RouterRequest request, CallerSink sink) {
    if (!gone) {
      onGone = requests.start(request, sink);
    }
  }

  private void leave() {
    boolean again = gone;
    gone = true;
    if (!again && onGone != null) {
      onGone.run();
    }
  }
}
