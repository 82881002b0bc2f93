package org.currantslip.node.edge;

import org.currantslip.core.request.CallerSink;
import org.currantslip.core.request.ForwardedRequest;
import org.currantslip.core.request.RequestEngine;
import org.currantslip.core.request.RouterRequest;
import org.currantslip.core.route.RouteSource;
import org.currantslip.node.caller.CallerRequests;

/** Starts forwarded requests, whose responses are due at the timeouts of their routes. */
final class EdgeRequests implements CallerRequests {
  private final RequestEngine engine;
  private final RouteSource routes;

  private EdgeRequests(RequestEngine engine, RouteSource routes) {
    this.engine = engine;
    this.routes = routes;
  }

  static EdgeRequests create(RequestEngine engine, RouteSource routes) {
    return new EdgeRequests(engine, routes);
  }

  @Override
  public Runnable start(RouterRequest request, CallerSink sink) {
    return engine.start(request, sink)::onCallerDisconnected;
  }

  @Override
  public long responseDueMs(RouterRequest request) {
    ForwardedRequest forwarded = request.forwarded();
    if (forwarded == null) {
      return request.deadlineMs();
    }
    return routes
        .current()
        .route(forwarded.host(), request.path())
        .map(route -> Math.min(request.deadlineMs(), forwarded.arrivedMs() + route.timeoutMs()))
        .orElse(request.deadlineMs());
  }
}
