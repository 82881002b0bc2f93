package org.currantslip.node.caller;

import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.currantslip.core.common.ResultCode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the list of nodes to which callers of the native API may connect. */
final class EntryHandler extends Handler.Abstract.NonBlocking {
  static final String PATH = "/v1/entry";

  private final Supplier<EntryView> entryView;
  private final long ttlMs;
  private final SlowRequestGuard slowRequestGuard;

  private EntryHandler(
      Supplier<EntryView> entryView, long ttlMs, SlowRequestGuard slowRequestGuard) {
    this.entryView = entryView;
    this.ttlMs = ttlMs;
    this.slowRequestGuard = slowRequestGuard;
  }

  static EntryHandler create(
      Supplier<EntryView> entryView, long ttlMs, SlowRequestGuard slowRequestGuard) {
    return new EntryHandler(entryView, ttlMs, slowRequestGuard);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    if (!PATH.equals(request.getHttpURI().getPath()) || !request.getMethod().equals("GET")) {
      return false;
    }
    Connection connection = request.getConnectionMetaData().getConnection();
    Request.addCompletionListener(request, failure -> slowRequestGuard.onResponse(connection));
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    response.getHeaders().put(RequestHeaders.CODE, String.valueOf(ResultCode.OK.number()));
    byte[] body = ResponseJson.entries(entryView.get().entries(), ttlMs);
    response.write(true, ByteBuffer.wrap(body), callback);
    return true;
  }
}
