package org.currantslip.standin.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One request with its body read, and the way its answer goes out under the faults it meets. */
public final class Exchange {
  private static final String JSON = "application/json";

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final byte[] body;
  private final FaultSet faults;
  private final Delays delays;
  private final Fields query;

  Exchange(
      Request request,
      Response response,
      Callback callback,
      byte[] body,
      FaultSet faults,
      Delays delays) {
    this.request = request;
    this.response = response;
    this.callback = callback;
    this.body = body;
    this.faults = faults;
    this.delays = delays;
    query = Request.extractQueryParameters(request);
  }

  /** Returns the HTTP method. */
  public String method() {
    return request.getMethod();
  }

  /** Returns the path without its query. */
  public String path() {
    return Request.getPathInContext(request);
  }

  /** Returns a query parameter, or a fallback. */
  public String query(String name, String fallback) {
    String value = query.getValue(name);
    return value == null ? fallback : value;
  }

  /** Returns a header's value, or an empty string. */
  public String header(String name) {
    String value = request.getHeaders().get(name);
    return value == null ? "" : value;
  }

  /** Returns the port of the other end, which tells connections apart. */
  public int clientPort() {
    return Request.getRemotePort(request);
  }

  /** Returns the request's body. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the request's body as JSON; a malformed one is refused. */
  public JsonNode json() {
    return Json.parse(body);
  }

  /** Returns the correlation id to answer with, which a fault may have crossed. */
  public String correlation() {
    String own = header("Currantslip-Correlation");
    return faults.crossed() ? "crossed-" + own : own;
  }

  /** Answers with JSON. */
  public void reply(int status, JsonNode json) {
    reply(status, JSON, Map.of(), Json.bytes(json));
  }

  /** Answers with a whole body. */
  public void reply(int status, String contentType, Map<String, String> headers, byte[] answer) {
    if (faults.loseAnswerAfterEffect()) {
      abort();
    } else if (faults.lateMs() > 0) {
      delays.after(faults.lateMs(), () -> write(status, contentType, headers, answer));
    } else {
      write(status, contentType, headers, answer);
    }
  }

  /** Starts an answer of server-sent events. */
  public EventStream stream(Map<String, String> headers) {
    response.setStatus(200);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
    return new EventStream(this, response, callback, faults);
  }

  /** Closes the connection. */
  public void abort() {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
    callback.failed(new IOException("connection closed by a fault"));
  }

  private void write(int status, String contentType, Map<String, String> headers, byte[] answer) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answer.length);
    if (answer.length > 0) {
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    }
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
    if (!faults.truncate() && !faults.freeze()) {
      response.write(true, ByteBuffer.wrap(answer), callback);
      return;
    }
    byte[] half = Arrays.copyOf(answer, answer.length / 2);
    Callback then = faults.freeze() ? Callback.NOOP : Callback.from(this::abort);
    response.write(false, ByteBuffer.wrap(half), then);
  }
}
