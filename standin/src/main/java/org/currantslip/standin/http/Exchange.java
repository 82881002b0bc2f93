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

/** A request with its body and the means to answer it, subject to the active faults. */
public final class Exchange {
  private static final String JSON = "application/json";
  private static final int OK = 200;

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

  /** Returns the path without the query string. */
  public String path() {
    return Request.getPathInContext(request);
  }

  /** Returns a query parameter, or {@code defaultValue} if it is absent. */
  public String query(String name, String defaultValue) {
    String value = query.getValue(name);
    return value == null ? defaultValue : value;
  }

  /** Returns the value of a header, or an empty string if it is absent. */
  public String header(String name) {
    String value = request.getHeaders().get(name);
    return value == null ? "" : value;
  }

  /** Returns the remote port, which identifies the connection. */
  public int clientPort() {
    return Request.getRemotePort(request);
  }

  /** Returns a copy of the request body. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the request body as JSON; malformed JSON is refused. */
  public JsonNode json() {
    return Json.parse(body);
  }

  /** Returns the correlation id of the answer; the {@code crossed} fault returns a wrong one. */
  public String correlation() {
    String requested = header("Currantslip-Correlation");
    return faults.crossed() ? "crossed-" + requested : requested;
  }

  /** Answers with JSON. */
  public void reply(int status, JsonNode json) {
    reply(status, JSON, Map.of(), Json.bytes(json));
  }

  /** Answers with a complete body, or as the active faults demand. */
  public void reply(int status, String contentType, Map<String, String> headers, byte[] content) {
    if (faults.loseAnswerAfterEffect()) {
      abort();
    } else if (faults.lateMs() > 0) {
      delays.after(faults.lateMs(), () -> write(status, contentType, headers, content));
    } else {
      write(status, contentType, headers, content);
    }
  }

  /** Sends the head and the first half of the body of an answer that is never completed. */
  public void replyInPart(String contentType, Map<String, String> headers, byte[] content) {
    putHead(OK, contentType, headers, content.length);
    response.write(
        false, ByteBuffer.wrap(Arrays.copyOf(content, content.length / 2)), Callback.NOOP);
  }

  /** Starts a response of server-sent events. */
  public EventStream stream(Map<String, String> headers) {
    response.setStatus(OK);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
    return new EventStream(this, response, callback, faults);
  }

  /** Closes the connection. */
  public void abort() {
    request.getConnectionMetaData().getConnection().getEndPoint().close();
    callback.failed(new IOException("connection closed by an injected fault"));
  }

  private void write(int status, String contentType, Map<String, String> headers, byte[] content) {
    putHead(status, contentType, headers, content.length);
    if (!faults.truncate() && !faults.freeze()) {
      response.write(true, ByteBuffer.wrap(content), callback);
      return;
    }
    byte[] firstHalf = Arrays.copyOf(content, content.length / 2);
    Callback onWritten = faults.freeze() ? Callback.NOOP : Callback.from(this::abort);
    response.write(false, ByteBuffer.wrap(firstHalf), onWritten);
  }

  private void putHead(
      int status, String contentType, Map<String, String> headers, int contentLength) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, contentLength);
    if (contentLength > 0) {
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
    }
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
  }
}
