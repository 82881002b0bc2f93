package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.util.concurrent.Executor;
import org.currantslip.adapter.http.JsonCalls;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointCalls;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.schema.EndpointRecord;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Calls to endpoints over HTTP. */
public final class HttpEndpointCalls implements EndpointCalls {
  private final HttpClient client;
  private final Executor executor;
  private final EndpointTimeouts timeouts;
  private final long maxAnswerBytes;

  private HttpEndpointCalls(
      HttpClient client, Executor executor, EndpointTimeouts timeouts, long maxAnswerBytes) {
    this.client = client;
    this.executor = executor;
    this.timeouts = timeouts;
    this.maxAnswerBytes = maxAnswerBytes;
  }

  /** Returns an adapter whose events reach their listeners on {@code executor}, in order. */
  public static HttpEndpointCalls create(
      HttpClient client, Executor executor, EndpointTimeouts timeouts, long maxAnswerBytes) {
    return new HttpEndpointCalls(client, executor, timeouts, maxAnswerBytes);
  }

  @Override
  public EndpointCall start(
      EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    Request http =
        client
            .newRequest(JsonCalls.baseOf(endpoint.getAddress()) + request.path())
            .method(request.method())
            .followRedirects(false)
            .headers(h -> addHeaders(h, request));
    ByteString body = ModelBody.withModel(request);
    if (!body.isEmpty()) {
      http.body(new ByteBufferRequestContent(request.contentType(), body.asReadOnlyByteBuffer()));
    }
    if (request.freshConnection()) {
      // Connections are pooled by destination, and the tag is part of a destination's identity.
      http.tag(new Object());
    }
    HttpEndpointCall call =
        HttpEndpointCall.create(
            http,
            AnswerForm.of(request),
            SerialEvents.create(executor, listener),
            timeouts,
            maxAnswerBytes);
    if (request.freshConnection()) {
      call.whenOver(() -> client.removeDestination(client.resolveDestination(http)));
    }
    call.send(client.getScheduler());
    return call;
  }

  private static void addHeaders(HttpFields.Mutable headers, EndpointRequest request) {
    headers.put(EndpointHeaders.CORRELATION, request.correlation());
    headers.put(EndpointHeaders.PRIORITY, Integer.toString(request.priority()));
    if (!request.version().isEmpty()) {
      headers.put(EndpointHeaders.VERSION, request.version());
    }
    if (!request.idempotencyKey().isEmpty()) {
      headers.put(EndpointHeaders.IDEMPOTENCY_KEY, request.idempotencyKey());
    }
    if (request.stream()) {
      headers.put(HttpHeader.ACCEPT, AnswerForm.EVENT_STREAM);
    }
    if (request.freshConnection()) {
      headers.put(HttpHeader.CONNECTION, "close");
    }
  }
}
