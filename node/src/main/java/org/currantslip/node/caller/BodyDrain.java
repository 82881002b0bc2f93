package org.currantslip.node.caller;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/**
 * Reads the rest of a body whose request was answered before it arrived.
 *
 * <p>Closing a connection with unread bytes resets it, and the caller may lose the response. The
 * time is limited by {@link SlowRequestGuard}.
 */
final class BodyDrain implements Runnable {
  private final Request request;
  private final Callback callback;
  private final long maxBytes;
  private long byteCount;

  private BodyDrain(Request request, Callback callback, long maxBytes) {
    this.request = request;
    this.callback = callback;
    this.maxBytes = maxBytes;
  }

  /**
   * Completes the callback once the body has been read, at most {@code maxBytes} of it. A caller
   * that awaits permission to send its body sends none after the response.
   */
  static void completeAfterBody(Request request, Callback callback, long maxBytes) {
    if (request.getHeaders().contains(HttpHeader.EXPECT)) {
      callback.succeeded();
    } else {
      new BodyDrain(request, callback, maxBytes).run();
    }
  }

  @Override
  public void run() {
    while (byteCount <= maxBytes) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this);
        return;
      }
      byteCount += chunk.remaining();
      chunk.release();
      if (chunk.isLast() || Content.Chunk.isFailure(chunk)) {
        break;
      }
    }
    callback.succeeded();
  }
}
