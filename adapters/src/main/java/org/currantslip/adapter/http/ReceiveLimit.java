package org.currantslip.adapter.http;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;
import org.jspecify.annotations.Nullable;

/**
 * Limits what a connection may receive besides the final head and the content of a response:
 * informational responses, and the size, extensions and separators of chunks.
 *
 * <p>The limit applies to plain connections and only from the first call of {@link #restart}. A
 * connection that exceeds it fails.
 */
public final class ReceiveLimit {
  private ReceiveLimit() {}

  /** Starts to count; called when a request is sent and when the final head has arrived. */
  public static void restart(Request request) {
    ResetAwareEndPoint endPoint = endPoint(request);
    if (endPoint != null) {
      endPoint.restartLimit();
    }
  }

  /** Excludes content, and the usual framing of one chunk, from the count. */
  public static void onContent(Request request, int bytes) {
    ResetAwareEndPoint endPoint = endPoint(request);
    if (endPoint != null) {
      endPoint.onContent(bytes);
    }
  }

  private static @Nullable ResetAwareEndPoint endPoint(Request request) {
    return request.getConnection() instanceof Connection connection
            && connection.getEndPoint() instanceof ResetAwareEndPoint endPoint
        ? endPoint
        : null;
  }
}
