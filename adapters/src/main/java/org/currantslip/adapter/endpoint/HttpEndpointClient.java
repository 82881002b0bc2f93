package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.util.concurrent.Executor;
import org.currantslip.adapter.http.JsonHttpClient;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointClient;
import org.currantslip.core.request.EndpointListener;
import org.currantslip.core.request.EndpointRequest;
import org.currantslip.schema.EndpointRecord;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Starts calls to endpoints over HTTP. */
public final class HttpEndpointClient implements EndpointClient {
  private final HttpClient client;
  private final Executor executor;
  private final EndpointTimeouts timeouts;
  private final long maxResponseBytes;

  private HttpEndpointClient(
      HttpClient client, Executor executor, EndpointTimeouts timeouts, long maxResponseBytes) {
    this.client = client;
    this.executor = executor;
    this.timeouts = timeouts;
    this.maxResponseBytes = maxResponseBytes;
  }

  /** Returns an adapter that delivers the events of each call in order on {@code executor}. */
  public static HttpEndpointClient create(
      HttpClient client, Executor executor, EndpointTimeouts timeouts, long maxResponseBytes) {
    return new HttpEndpointClient(client, executor, timeouts, maxResponseBytes);
  }

  @Override
  public EndpointCall start(
      EndpointRecord endpoint, EndpointRequest request, EndpointListener listener) {
    Request httpRequest =
        client
            .newRequest(JsonHttpClient.baseUrl(endpoint.getAddress()) + request.path())
            .method(request.method())
            .followRedirects(false)
            .headers(headers -> addHeaders(headers, request));
    ByteString body = ModelRequestBody.withModel(request);
    if (!body.isEmpty()) {
      httpRequest.body(
          new ByteBufferRequestContent(request.contentType(), body.asReadOnlyByteBuffer()));
    }
    if (request.freshConnection()) {
      // Connections are pooled per destination, and the tag is part of the destination's identity,
      // so
      // a unique tag forces a new connection.
      httpRequest.tag(new Object());
    }
    HttpEndpointCall call =
        HttpEndpointCall.create(
            httpRequest,
            ResponseFormat.of(request),
            OrderedEventDispatcher.create(executor, listener),
            timeouts,
            maxResponseBytes);
    if (request.freshConnection()) {
      call.onCompletion(() -> client.removeDestination(client.resolveDestination(httpRequest)));
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
      headers.put(HttpHeader.ACCEPT, ResponseFormat.EVENT_STREAM_TYPE);
    }
    if (request.freshConnection()) {
      headers.put(HttpHeader.CONNECTION, "close");
    }
  }
}
