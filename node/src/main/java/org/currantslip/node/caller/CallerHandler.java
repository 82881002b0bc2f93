package org.currantslip.node.caller;

import com.google.common.base.Strings;
import com.google.errorprone.annotations.CanIgnoreReturnValue;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.adapter.caller.PendingRequest;
import org.currantslip.adapter.caller.RequestHead;
import org.currantslip.core.common.ByteBudget;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.node.duty.DecisionThread;
import org.currantslip.node.log.EventLog;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.NanoTime;
import org.eclipse.jetty.util.thread.Scheduler;

/** Validates callers' requests and passes them to the decision thread. */
final class CallerHandler extends Handler.Abstract.NonBlocking {
  private static final long BUSY_RETRY_AFTER_MS = 200;

  /** A request that waits longer for the decision thread is served sooner by another node. */
  static final long MAX_DECISION_LAG_MS = 300;

  /** Memory for responses that their callers have not read yet. */
  private static final long MAX_UNREAD_RESPONSE_BYTES = 16L << 20;

  /** More than a usual response or event, so that slow callers do not affect others. */
  private static final long UNLIMITED_BYTES_PER_RESPONSE = 4 << 10;

  /** Leaves the decision thread the time to answer by itself. */
  private static final long OVERDUE_MARGIN_MS = 100;

  private final CallerOptions options;
  private final CallerProtocol protocol;
  private final Clock clock;
  private final CloseLog closeLog;
  private final SlowRequestGuard slowRequestGuard;
  private final DecisionThread decisions;
  private final CallerRequests requests;
  private final Supplier<String> requestIds;
  private final Supplier<EntryView> entryView;
  private final ByteBudget bodies;
  private final ByteBudget unreadResponses =
      ByteBudget.of(MAX_UNREAD_RESPONSE_BYTES, UNLIMITED_BYTES_PER_RESPONSE);
  private final RequestGate gate = RequestGate.create();
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean leaving;

  private CallerHandler(
      CallerOptions options,
      CallerProtocol protocol,
      Clock clock,
      CloseLog closeLog,
      SlowRequestGuard slowRequestGuard,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> entryView) {
    this.options = options;
    this.protocol = protocol;
    this.clock = clock;
    this.closeLog = closeLog;
    this.slowRequestGuard = slowRequestGuard;
    this.decisions = decisions;
    this.requests = requests;
    this.requestIds = requestIds;
    this.entryView = entryView;
    bodies = ByteBudget.of(options.maxTotalBodyBytes(), 0);
  }

  static CallerHandler create(
      CallerOptions options,
      CallerProtocol protocol,
      Clock clock,
      CloseLog closeLog,
      SlowRequestGuard slowRequestGuard,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> entryView) {
    return new CallerHandler(
        options,
        protocol,
        clock,
        closeLog,
        slowRequestGuard,
        decisions,
        requests,
        requestIds,
        entryView);
  }

  int inFlight() {
    return inFlight.get();
  }

  /** Returns the number of requests passed to the decision thread that have no response yet. */
  int admittedCount() {
    return gate.admittedCount();
  }

  /** From now on, each response tells its caller to close the connection. */
  void startLeaving() {
    leaving = true;
  }

  /** Refuses requests from now on, also those whose body has not been read yet. */
  void refuseRequests() {
    leaving = true;
    gate.close();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    CallerExchange exchange = CallerExchange.create(decisions, requests);
    String requestId = requestIds.get();
    OpenRequest openRequest = closeLog.open(requestId, arrivedMs(request));
    int requestCount = inFlight.incrementAndGet();
    Runnable answered = once(inFlight::decrementAndGet);
    ResponseSink sink =
        ResponseSink.create(
            protocol,
            response,
            afterBody(request, callback, answered),
            options.maxPendingBytes(),
            unreadResponses.open(),
            () -> leaving,
            rule -> closeLog.record(rule, openRequest),
            exchange::disconnect);
    Connection connection = request.getConnectionMetaData().getConnection();
    slowRequestGuard.onHeader(connection, openRequest);
    Request.addCompletionListener(
        request,
        failure -> {
          answered.run();
          slowRequestGuard.onResponse(connection);
        });
    try {
      if (gate.isClosed()) {
        throw nodeLeaving();
      }
      if (requestCount > options.maxInFlight()) {
        throw RefusalException.notRunRetryable(
            ResultCode.TOO_MANY_IN_FLIGHT, BUSY_RETRY_AFTER_MS, "too many concurrent requests");
      }
      readBody(request, sink, exchange, openRequest, readHead(request));
    } catch (RefusalException refusal) {
      refuse(request, sink, requestId, refusal);
    }
    return true;
  }

  private static Runnable once(Runnable task) {
    AtomicBoolean done = new AtomicBoolean();
    return () -> {
      if (done.compareAndSet(false, true)) {
        task.run();
      }
    };
  }

  private Callback afterBody(Request request, Callback callback, Runnable answered) {
    return Callback.from(
        () -> {
          answered.run();
          BodyDrain.completeAfterBody(request, callback, options.maxBodyBytes());
        },
        callback::failed);
  }

  private static RefusalException nodeLeaving() {
    return RefusalException.notRunRetryable(
        ResultCode.NODE_LEAVING, BUSY_RETRY_AFTER_MS, "the node is shutting down");
  }

  private static RefusalException behind() {
    return RefusalException.notRunRetryable(
        ResultCode.OVERLOADED, BUSY_RETRY_AFTER_MS, "the node is behind with its requests");
  }

  private long arrivedMs(Request request) {
    return clock.nowMs() - NanoTime.millisSince(request.getBeginNanoTime());
  }

  private PendingRequest readHead(Request request) {
    PendingRequest pending =
        protocol.read(
            new RequestHead(
                request.getMethod(),
                Strings.nullToEmpty(request.getHttpURI().getPath()),
                Strings.nullToEmpty(request.getHttpURI().getPathQuery()),
                request.getHeaders(),
                arrivedMs(request)));
    if (request.getLength() > options.maxBodyBytes()) {
      throw tooLarge();
    }
    return pending;
  }

  private void readBody(
      Request request,
      ResponseSink sink,
      CallerExchange exchange,
      OpenRequest openRequest,
      PendingRequest pending) {
    ByteBudget.Share memory = bodies.open();
    Request.addCompletionListener(request, failure -> memory.release());
    request.addFailureListener(sink::onFailure);
    BodyReader.read(request, request.getLength(), options.maxBodyBytes(), memory)
        .whenComplete(
            (body, failure) -> {
              slowRequestGuard.onBody(request.getConnectionMetaData().getConnection(), openRequest);
              if (failure != null) {
                refuse(request, sink, openRequest.id(), bodyRefusal(failure));
              } else {
                dispatch(request, sink, exchange, openRequest, pending, body);
              }
            });
  }

  private void dispatch(
      Request request,
      ResponseSink sink,
      CallerExchange exchange,
      OpenRequest openRequest,
      PendingRequest pending,
      byte[] body) {
    String requestId = openRequest.id();
    if (decisions.lagMs() > MAX_DECISION_LAG_MS) {
      refuse(request, sink, requestId, behind());
      return;
    }
    if (!gate.tryEnter()) {
      refuse(request, sink, requestId, nodeLeaving());
      return;
    }
    Request.addCompletionListener(request, failure -> gate.leave());
    request.addIdleTimeoutListener(timeout -> sink.isWriting());
    sink.setDisconnectMonitor(
        DisconnectMonitor.start(
            request.getConnectionMetaData().getConnection(), sink::markDisconnected));
    if (sink.isAbandoned()) {
      return;
    }
    try {
      RouterRequest routerRequest = pending.complete(requestId, body);
      openRequest.setId(routerRequest.requestId());
      endWhenOverdue(request, sink, exchange, routerRequest);
      if (!exchange.offer(routerRequest, sink)) {
        throw RefusalException.notRunRetryable(
            ResultCode.OVERLOADED, BUSY_RETRY_AFTER_MS, "the request queue is full");
      }
    } catch (RefusalException refusal) {
      refuse(request, sink, requestId, refusal);
    }
  }

  /** Ends a request that the decision thread has not answered shortly after it was due. */
  private void endWhenOverdue(
      Request request, ResponseSink sink, CallerExchange exchange, RouterRequest routerRequest) {
    long delayMs = requests.responseDueMs(routerRequest) + OVERDUE_MARGIN_MS - clock.nowMs();
    Scheduler.Task timer =
        request
            .getConnectionMetaData()
            .getConnector()
            .getScheduler()
            .schedule(
                () -> endOverdue(request, sink, exchange, routerRequest.requestId()),
                Math.max(0, delayMs),
                TimeUnit.MILLISECONDS);
    Request.addCompletionListener(request, failure -> timer.cancel());
  }

  private void endOverdue(
      Request request, ResponseSink sink, CallerExchange exchange, String requestId) {
    boolean notRun = exchange.withdraw();
    RefusalException refusal =
        notRun
            ? RefusalException.notRunRetryable(
                ResultCode.DEADLINE_UNREACHABLE, BUSY_RETRY_AFTER_MS, "the node is behind")
            : RefusalException.of(
                ResultCode.DEADLINE_EXCEEDED, Ran.UNKNOWN, 0, "the deadline passed");
    if (refuse(request, sink, requestId, refusal)) {
      EventLog.write(
          LogEvent.RESPONSE_OVERDUE,
          "request=%s begun=%s lag_ms=%d".formatted(requestId, !notRun, decisions.lagMs()));
      exchange.disconnect();
    }
  }

  private static RefusalException bodyRefusal(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof RefusalException refusal
        ? refusal
        : RefusalException.notRun(ResultCode.BODY_MALFORMED, "the request body cannot be read");
  }

  private static RefusalException tooLarge() {
    return RefusalException.notRun(ResultCode.BODY_TOO_LARGE, "the request body is too large");
  }

  /** Ends the response with a refusal; returns false if it had ended before. */
  @CanIgnoreReturnValue
  private boolean refuse(
      Request request, ResponseSink sink, String requestId, RefusalException refusal) {
    Ran ran = protocol.executionStateOfRefusal(request.getHeaders());
    return sink.finishIfOpen(
        new ResponseHead(
            requestId,
            refusal.code(),
            refusal.ran() == Ran.NO ? ran : refusal.ran(),
            refusal.code().httpStatus(),
            "application/json",
            false,
            "",
            "",
            entryView.get().configVersion(),
            List.of(),
            refusal.retryAfterMs(),
            "",
            false,
            false,
            refusal.detail()));
  }
}
