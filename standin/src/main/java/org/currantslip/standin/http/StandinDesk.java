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

/** Takes the requests of one stand-in: its fault switch first, then the stand-in itself. */
final class StandinDesk {
  private static final String FAULTS_PATH = "/faults";
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final int OK = 200;

  private final StandinApp app;
  private final FaultSwitch faults;
  private final Delays delays;

  private StandinDesk(StandinApp app, FaultSwitch faults, Delays delays) {
    this.app = app;
    this.faults = faults;
    this.delays = delays;
  }

  static StandinDesk create(StandinApp app, FaultSwitch faults, Delays delays) {
    return new StandinDesk(app, faults, delays);
  }

  void take(Request request, Response response, Callback callback) {
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
      serve(exchange, this::switchFaults);
      return;
    }
    FaultSet met = app.isControl(request.getMethod(), path) ? FaultSet.NONE : faults.next(path);
    Exchange exchange = new Exchange(request, response, callback, body, met, delays);
    if (met.refuse()) {
      exchange.abort();
    } else if (met.down()) {
      refuse(exchange, ResultCode.OVERLOADED, "stand-in is down");
    } else if (faults.draw(met.errorShare())) {
      refuse(exchange, ResultCode.INTERNAL, "stand-in failed");
    } else if (!met.silentAfterAccept()) {
      serveAfter(exchange, met.slowMs());
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

  private void switchFaults(Exchange exchange) {
    if (exchange.method().equals("POST")) {
      faults.set(FaultParser.parse(exchange.json()));
    } else if (!exchange.method().equals("GET")) {
      throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, exchange.method());
    }
    exchange.reply(OK, Json.tree(faults.current()));
  }
}
