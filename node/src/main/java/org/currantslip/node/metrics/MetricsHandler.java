package org.currantslip.node.metrics;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the Prometheus page; it names no account and no token, so it asks for none. */
public final class MetricsHandler extends Handler.Abstract {
  private static final String PATH = "/metrics";
  private static final String TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final NodeMetrics metrics;

  private MetricsHandler(NodeMetrics metrics) {
    this.metrics = metrics;
  }

  /** Returns a handler that leaves other paths to the next one. */
  public static MetricsHandler create(NodeMetrics metrics) {
    return new MetricsHandler(metrics);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    if (!request.getMethod().equals("GET") || !Request.getPathInContext(request).equals(PATH)) {
      return false;
    }
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, TYPE);
    Content.Sink.write(response, true, metrics.page(), callback);
    return true;
  }
}
