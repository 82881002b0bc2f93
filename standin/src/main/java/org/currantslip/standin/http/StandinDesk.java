package org.currantslip.standin.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Takes the requests of one stand-in: its fault switch first, then the stand-in itself. */
final class StandinDesk {
  private static final String FAULTS_PATH = "/faults";
  private static final int MAX_BODY_BYTES = 16 << 20;
  private static final int OK = 200;

  private final StandinApp app;
  private final FaultSwitch faults;
  private final ScheduledExecutorService timer;

  private StandinDesk(StandinApp app, FaultSwitch faults, ScheduledExecutorService timer) {
    this.app = app;
    this.faults = faults;
    this.timer = timer;
  }

  static StandinDesk create(StandinApp app, FaultSwitch faults, ScheduledExecutorService timer) {
    return new StandinDesk(app, faults, timer);
  }

  void take(Request request, Response response, Callback callback) {
    Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES)
        .whenComplete(
            (body, failure) -> {
              if (failure != null) {
                callback.failed(failure);
              } else {
                route(request, response, callback, body);
              }
            });
  }

  private void route(Request request, Response response, Callback callback, byte[] body) {
    String path = Request.getPathInContext(request);
    if (path.equals(FAULTS_PATH)) {
      Exchange exchange = new Exchange(request, response, callback, body, FaultSet.NONE, timer);
      serve(exchange, this::switchFaults);
      return;
    }
    FaultSet met = app.isControl(request.getMethod(), path) ? FaultSet.NONE : faults.next(path);
    Exchange exchange = new Exchange(request, response, callback, body, met, timer);
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
      timer.schedule(() -> serve(exchange, app), delayMs, TimeUnit.MILLISECONDS);
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
