package org.currantslip.node.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.log.EventLog;
import org.jspecify.annotations.Nullable;

/**
 * Passes one request, and later its caller's disconnect, to the decision thread.
 *
 * <p>A request that has not begun can be withdrawn on any thread; it then never begins.
 */
final class CallerExchange {
  private final DecisionThread decisions;
  private final CallerRequests requests;
  private final AtomicBoolean begunOrWithdrawn = new AtomicBoolean();
  private boolean disconnected;
  private @Nullable Runnable onDisconnect;

  private CallerExchange(DecisionThread decisions, CallerRequests requests) {
    this.decisions = decisions;
    this.requests = requests;
  }

  static CallerExchange create(DecisionThread decisions, CallerRequests requests) {
    return new CallerExchange(decisions, requests);
  }

  /** Enqueues the request; returns false if the queue of the decision thread is full. */
  boolean offer(RouterRequest request, CallerSink sink) {
    return decisions.offerRequest(() -> start(request, sink));
  }

  /** Prevents the start of the request; returns false if it has begun. */
  boolean withdraw() {
    return begunOrWithdrawn.compareAndSet(false, true);
  }

  void disconnect() {
    decisions.execute(this::handleDisconnect);
  }

  private void start(RouterRequest request, CallerSink sink) {
    if (disconnected || sink.isAbandoned() || !begunOrWithdrawn.compareAndSet(false, true)) {
      return;
    }
    try {
      onDisconnect = requests.start(request, sink);
    } catch (RuntimeException | Error e) {
      EventLog.write(LogEvent.TASK_FAILED, "request=" + request.requestId(), e);
      sink.finish(internalError(request));
    }
  }

  private static ResponseHead internalError(RouterRequest request) {
    return new ResponseHead(
        request.requestId(),
        ResultCode.INTERNAL,
        Ran.UNKNOWN,
        ResultCode.INTERNAL.httpStatus(),
        "application/json",
        false,
        "",
        "",
        0,
        List.of(),
        0,
        "",
        false,
        false,
        "the request could not be started");
  }

  private void handleDisconnect() {
    boolean alreadyDisconnected = disconnected;
    disconnected = true;
    if (!alreadyDisconnected && onDisconnect != null) {
      onDisconnect.run();
    }
  }
}
