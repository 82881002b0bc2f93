package org.currantslip.node.metrics;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves the metrics in the Prometheus text format. No authentication is required, as the metrics
 * contain neither accounts nor tokens.
 */
public final class MetricsHandler extends Handler.Abstract {
  private static final String PATH = "/metrics";
  private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final NodeMetrics metrics;

  private MetricsHandler(NodeMetrics metrics) {
    this.metrics = metrics;
  }

  /** Creates a handler that passes requests for other paths to the next handler. */
  public static MetricsHandler create(NodeMetrics metrics) {
    return new MetricsHandler(metrics);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    if (!request.getMethod().equals("GET") || !Request.getPathInContext(request).equals(PATH)) {
      return false;
    }
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, CONTENT_TYPE);
    Content.Sink.write(response, true, metrics.page(), callback);
    return true;
  }
}
