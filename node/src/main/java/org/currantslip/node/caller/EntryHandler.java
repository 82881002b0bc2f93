package org.currantslip.node.caller;

import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.currantslip.core.common.ResultCode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Tells callers of this product's own interface which nodes to use. */
final class EntryHandler extends Handler.Abstract.NonBlocking {
  static final String PATH = "/v1/entry";

  private final Supplier<EntryView> view;
  private final long ttlMs;

  private EntryHandler(Supplier<EntryView> view, long ttlMs) {
    this.view = view;
    this.ttlMs = ttlMs;
  }

  static EntryHandler create(Supplier<EntryView> view, long ttlMs) {
    return new EntryHandler(view, ttlMs);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    if (!PATH.equals(request.getHttpURI().getPath()) || !request.getMethod().equals("GET")) {
      return false;
    }
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    response.getHeaders().put(RequestHeaders.CODE, String.valueOf(ResultCode.OK.number()));
    byte[] body = AnswerJson.entries(view.get().entries(), ttlMs);
    response.write(true, ByteBuffer.wrap(body), callback);
    return true;
  }
}
