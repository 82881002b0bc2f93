package org.currantslip.standin.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable;

/** Serves the requests of one stand-in, applies its faults and serves {@code /faults}. */
final class FaultingHandler {
  private static final String FAULTS_PATH = "/faults";
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final int OK = 200;

  private final StandinApp app;
  private final FaultSwitch faults;
  private final Delays delays;

  private FaultingHandler(StandinApp app, FaultSwitch faults, Delays delays) {
    this.app = app;
    this.faults = faults;
    this.delays = delays;
  }

  static FaultingHandler create(StandinApp app, FaultSwitch faults, Delays delays) {
    return new FaultingHandler(app, faults, delays);
  }

  void handle(Request request, Response response, Callback callback) {
    Content.Source.asByteArrayAsync(
        request,
        MAX_BODY_BYTES,
        Promise.Invocable.from(
            Invocable.InvocationType.NON_BLOCKING,
            body -> route(request, response, callback, body),
            callback::failed));
  }

  private void route(Request request, Response response, Callback callback, byte[] body) {
    String path = Request.getPathInContext(request);
    if (path.equals(FAULTS_PATH)) {
      Exchange exchange = new Exchange(request, response, callback, body, FaultSet.NONE, delays);
      serve(exchange, this::handleFaultRequest);
      return;
    }
    FaultSet active =
        app.isControl(request.getMethod(), path) ? FaultSet.NONE : faults.activeFor(path);
    Exchange exchange = new Exchange(request, response, callback, body, active, delays);
    if (active.refuse()) {
      exchange.abort();
    } else if (active.down()) {
      refuse(exchange, ResultCode.OVERLOADED, "injected fault: stand-in is down");
    } else if (faults.draw(active.errorShare())) {
      refuse(exchange, ResultCode.INTERNAL, "injected fault: internal error");
    } else if (!active.silentAfterAccept()) {
      serveAfter(exchange, active.slowMs());
    }
  }

  private void serveAfter(Exchange exchange, long delayMs) {
    if (delayMs > 0) {
      delays.after(delayMs, () -> serve(exchange, app));
    } else {
      serve(exchange, app);
    }
  }

  private static void serve(Exchange exchange, StandinApp app) {
    try {
      app.handle(exchange);
    } catch (RefusalException e) {
      refuse(exchange, e.code(), e.detail());
    }
  }

  private static void refuse(Exchange exchange, ResultCode code, String message) {
    ObjectNode body = Json.object();
    body.putObject("error")
        .put("code", code.number())
        .put("name", code.name())
        .put("message", message);
    exchange.reply(code.httpStatus(), body);
  }

  private void handleFaultRequest(Exchange exchange) {
    if (exchange.method().equals("POST")) {
      faults.set(FaultParser.parse(exchange.json()));
    } else if (!exchange.method().equals("GET")) {
      throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, exchange.method());
    }
    exchange.reply(OK, Json.tree(faults.current()));
  }
}
