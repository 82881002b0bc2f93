package org.currantslip.node.caller;

import com.google.common.base.Strings;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.currantslip.adapter.caller.CallerProtocol;
import org.currantslip.adapter.caller.PendingRequest;
import org.currantslip.adapter.caller.RequestHead;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.node.duty.DecisionThread;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Checks requests of callers and passes them to the decision thread. */
final class CallerHandler extends Handler.Abstract.NonBlocking {
  private static final long BUSY_RETRY_MS = 200;

  private final CallerOptions options;
  private final CallerProtocol protocol;
  private final Clock clock;
  private final SlowCallerGuard guard;
  private final DecisionThread decisions;
  private final CallerRequests requests;
  private final Supplier<String> requestIds;
  private final Supplier<EntryView> view;
  private final BodyBudget bodies;
  private final AtomicInteger inFlight = new AtomicInteger();

  private CallerHandler(
      CallerOptions options,
      CallerProtocol protocol,
      Clock clock,
      SlowCallerGuard guard,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> view) {
    this.options = options;
    this.protocol = protocol;
    this.clock = clock;
    this.guard = guard;
    this.decisions = decisions;
    this.requests = requests;
    this.requestIds = requestIds;
    this.view = view;
    bodies = BodyBudget.ofBytes(options.maxHeldBodyBytes());
  }

  static CallerHandler create(
      CallerOptions options,
      CallerProtocol protocol,
      Clock clock,
      SlowCallerGuard guard,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> view) {
    return new CallerHandler(
        options, protocol, clock, guard, decisions, requests, requestIds, view);
  }

  int inFlight() {
    return inFlight.get();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    CallerExchange exchange = CallerExchange.create(decisions, requests);
    ResponseSink sink =
        ResponseSink.create(
            protocol, response, callback, options.maxPendingBytes(), exchange::hangUp);
    String id = requestIds.get();
    int count = inFlight.incrementAndGet();
    Connection connection = request.getConnectionMetaData().getConnection();
    guard.onHeader(connection);
    Request.addCompletionListener(
        request,
        failure -> {
          inFlight.decrementAndGet();
          guard.onAnswer(connection);
        });
    EntryView now = view.get();
    if (now.leaving()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    try {
      if (!now.accepting()) {
        throw RefusalException.notRunRetryable(
            ResultCode.NODE_LEAVING, BUSY_RETRY_MS, "this node is leaving");
      }
      if (count > options.maxInFlight()) {
        throw RefusalException.notRunRetryable(
            ResultCode.TOO_MANY_IN_FLIGHT, BUSY_RETRY_MS, "too many requests at once");
      }
      read(request, sink, exchange, id, open(request));
    } catch (RefusalException refusal) {
      refuse(request, sink, id, refusal);
    }
    return true;
  }

  private PendingRequest open(Request request) {
    PendingRequest pending =
        protocol.read(
            new RequestHead(
                request.getMethod(),
                Strings.nullToEmpty(request.getHttpURI().getPath()),
                Strings.nullToEmpty(request.getHttpURI().getPathQuery()),
                request.getHeaders(),
                clock.nowMs()));
    if (request.getLength() > options.maxBodyBytes()) {
      throw tooLarge();
    }
    return pending;
  }

  private void read(
      Request request,
      ResponseSink sink,
      CallerExchange exchange,
      String id,
      PendingRequest pending) {
    long held = request.getLength() < 0 ? options.maxBodyBytes() : request.getLength();
    if (!bodies.take(held)) {
      throw RefusalException.notRunRetryable(
          ResultCode.TOO_MANY_IN_FLIGHT, BUSY_RETRY_MS, "too many bytes of requests at once");
    }
    Request.addCompletionListener(request, failure -> bodies.giveBack(held));
    request.addFailureListener(failure -> sink.lose());
    Content.Source.asByteArrayAsync(request, options.maxBodyBytes())
        .whenComplete(
            (body, failure) -> {
              guard.onBody(request.getConnectionMetaData().getConnection());
              if (failure != null) {
                refuse(request, sink, id, bodyRefusal(failure));
              } else {
                dispatch(request, sink, exchange, id, pending, body);
              }
            });
  }

  private void dispatch(
      Request request,
      ResponseSink sink,
      CallerExchange exchange,
      String id,
      PendingRequest pending,
      byte[] body) {
    request.addIdleTimeoutListener(timeout -> sink.isWriting());
    sink.watch(HangUpWatch.start(request.getConnectionMetaData().getConnection(), sink::lose));
    try {
      if (!exchange.offer(pending.complete(id, body), sink)) {
        throw RefusalException.notRunRetryable(
            ResultCode.OVERLOADED, BUSY_RETRY_MS, "the node has no room for more requests");
      }
    } catch (RefusalException refusal) {
      refuse(request, sink, id, refusal);
    }
  }

  private static RefusalException bodyRefusal(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof IllegalStateException
        ? tooLarge()
        : RefusalException.notRun(ResultCode.BODY_MALFORMED, "the body did not arrive whole");
  }

  private static RefusalException tooLarge() {
    return RefusalException.notRun(ResultCode.BODY_TOO_LARGE, "the body is too large");
  }

  private void refuse(Request request, ResponseSink sink, String id, RefusalException refusal) {
    Ran ran = protocol.executionStateOfRefusal(request.getHeaders());
    sink.finish(
        new ResponseHead(
            id,
            refusal.code(),
            refusal.ran() == Ran.NO ? ran : refusal.ran(),
            refusal.code().httpStatus(),
            "application/json",
            false,
            "",
            "",
            view.get().configVersion(),
            List.of(),
            refusal.retryAfterMs(),
            "",
            false,
            false,
            refusal.detail()));
  }
}
