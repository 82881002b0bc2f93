package org.currantslip.node.caller;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.AnswerHead;
import org.currantslip.core.request.RouterRequest;
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
  private static final String ENTRY_PATH = "/v1/entry";
  private static final long BUSY_RETRY_MS = 200;

  private final CallerOptions options;
  private final AccountTokens tokens;
  private final RequestParser parser;
  private final SlowCallerGuard guard;
  private final DecisionThread decisions;
  private final CallerRequests requests;
  private final Supplier<String> requestIds;
  private final Supplier<EntryView> view;
  private final BodyBudget bodies;
  private final AtomicInteger inFlight = new AtomicInteger();

  private CallerHandler(
      CallerOptions options,
      AccountTokens tokens,
      Clock clock,
      SlowCallerGuard guard,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> view) {
    this.options = options;
    this.tokens = tokens;
    this.guard = guard;
    this.decisions = decisions;
    this.requests = requests;
    this.requestIds = requestIds;
    this.view = view;
    bodies = BodyBudget.ofBytes(options.maxHeldBodyBytes());
    parser = RequestParser.create(clock, options.deadlineMs(), options.isService());
  }

  static CallerHandler create(
      CallerOptions options,
      AccountTokens tokens,
      Clock clock,
      SlowCallerGuard guard,
      DecisionThread decisions,
      CallerRequests requests,
      Supplier<String> requestIds,
      Supplier<EntryView> view) {
    return new CallerHandler(options, tokens, clock, guard, decisions, requests, requestIds, view);
  }

  int inFlight() {
    return inFlight.get();
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = request.getHttpURI().getPath();
    if (path != null && path.equals(ENTRY_PATH) && request.getMethod().equals("GET")) {
      entry(response, callback);
      return true;
    }
    CallerExchange exchange = CallerExchange.create(decisions, requests);
    ResponseSink sink =
        ResponseSink.create(response, callback, options.maxPendingBytes(), exchange::hangUp);
    String id = requestIds.get();
    int now = inFlight.incrementAndGet();
    Connection connection = request.getConnectionMetaData().getConnection();
    guard.onHeader(connection);
    Request.addCompletionListener(
        request,
        failure -> {
          inFlight.decrementAndGet();
          guard.onAnswer(connection);
        });
    boolean accepting = view.get().accepting();
    if (!accepting) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    try {
      if (!accepting) {
        throw RefusalException.notRunRetry(
            ResultCode.NODE_LEAVING, BUSY_RETRY_MS, "this node is leaving");
      }
      if (now > options.maxInFlight()) {
        throw RefusalException.notRunRetry(
            ResultCode.TOO_MANY_IN_FLIGHT, BUSY_RETRY_MS, "too many requests at once");
      }
      read(request, sink, exchange, id, route(request));
    } catch (RefusalException refusal) {
      refuse(request, sink, id, refusal);
    }
    return true;
  }

  private void entry(Response response, Callback callback) {
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    response.getHeaders().put(RequestHeaders.CODE, String.valueOf(ResultCode.OK.number()));
    byte[] body = AnswerJson.entries(view.get().entries(), options.entryTtlMs());
    response.write(true, ByteBuffer.wrap(body), callback);
  }

  /** Turns a read body into a request. */
  private interface Route {
    RouterRequest build(String id, byte[] body);
  }

  private Route route(Request request) {
    String path = Optional.ofNullable(request.getHttpURI().getPath()).orElse("");
    boolean chat = path.equals(RequestParser.CHAT_PATH);
    if (!chat && !path.startsWith(RequestParser.SERVICES_PREFIX)) {
      ResultCode code =
          path.equals(ENTRY_PATH) ? ResultCode.METHOD_NOT_ALLOWED : ResultCode.PATH_UNKNOWN;
      throw RefusalException.notRun(code, "no such path or method");
    }
    String account =
        tokens
            .accountOf(request.getHeaders().get(HttpHeader.AUTHORIZATION))
            .orElseThrow(
                () -> RefusalException.notRun(ResultCode.TOKEN_WRONG, "wrong or missing token"));
    if (chat && !request.getMethod().equals("POST")) {
      throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, "this path takes POST");
    }
    if (request.getLength() > options.maxBodyBytes()) {
      throw tooLarge();
    }
    RequestParser.Headers headers = parser.headers(account, request.getHeaders());
    if (chat) {
      return (id, body) -> parser.chat(id, account, headers, body);
    }
    String below = request.getHttpURI().getPathQuery();
    String type = RequestParser.contentType(request.getHeaders());
    return (id, body) ->
        parser.service(id, account, headers, request.getMethod(), below, type, body);
  }

  private void read(
      Request request, ResponseSink sink, CallerExchange exchange, String id, Route route) {
    long held = request.getLength() < 0 ? options.maxBodyBytes() : request.getLength();
    if (!bodies.take(held)) {
      throw RefusalException.notRunRetry(
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
                dispatch(request, sink, exchange, id, route, body);
              }
            });
  }

  private void dispatch(
      Request request,
      ResponseSink sink,
      CallerExchange exchange,
      String id,
      Route route,
      byte[] body) {
    request.addIdleTimeoutListener(timeout -> sink.isWriting());
    sink.watch(HangUpWatch.start(request.getConnectionMetaData().getConnection(), sink::lose));
    try {
      if (!exchange.offer(route.build(id, body), sink)) {
        throw RefusalException.notRunRetry(
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
    Ran ran = RequestParser.ranWhenRefused(request.getHeaders());
    sink.finish(
        new AnswerHead(
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
