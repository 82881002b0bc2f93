package org.currantslip.adapter.endpoint;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.currantslip.core.request.CallFailure;
import org.currantslip.core.request.EndpointCall;
import org.currantslip.core.request.EndpointResponseHead;
import org.currantslip.core.request.EndpointUsage;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.CyclicTimeout;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/** One call to an endpoint. Verifies that the response is complete and reports its events. */
final class HttpEndpointCall implements EndpointCall, Response.Listener {
  private static final int OK = 200;
  private static final int NO_CONTENT = 204;
  private static final ByteString STREAM_END = ByteString.copyFromUtf8("[DONE]");

  private final Request request;
  private final ResponseFormat format;
  private final OrderedEventDispatcher events;
  private final EndpointTimeouts timeouts;
  private final long maxResponseBytes;
  private final SseParser parser = SseParser.create(this::onEvent);

  private @Nullable CyclicTimeout idleTimeout;
  private Runnable onCompletion = () -> {};
  private volatile boolean sent;
  private volatile boolean timedOut;
  private boolean headReceived;
  private boolean streaming;
  private boolean ended;
  private long receivedBytes;
  private ByteString body = ByteString.EMPTY;
  private EndpointUsage usage = EndpointUsage.none();

  private HttpEndpointCall(
      Request request,
      ResponseFormat format,
      OrderedEventDispatcher events,
      EndpointTimeouts timeouts,
      long maxResponseBytes) {
    this.request = request;
    this.format = format;
    this.events = events;
    this.timeouts = timeouts;
    this.maxResponseBytes = maxResponseBytes;
  }

  static HttpEndpointCall create(
      Request request,
      ResponseFormat format,
      OrderedEventDispatcher events,
      EndpointTimeouts timeouts,
      long maxResponseBytes) {
    return new HttpEndpointCall(request, format, events, timeouts, maxResponseBytes);
  }

  /** Sets the action to run once the exchange has completed. */
  void onCompletion(Runnable action) {
    onCompletion = action;
  }

  void send(Scheduler scheduler) {
    idleTimeout =
        new CyclicTimeout(scheduler) {
          @Override
          public void onTimeoutExpired() {
            timedOut = true;
            CompletableFuture<Boolean> unused =
                request.abort(new TimeoutException("timed out waiting for the endpoint"));
          }
        };
    restartIdleTimeout(timeouts.firstByteMs());
    request.onRequestBegin(r -> sent = true).send(this);
  }

  @Override
  public void cancel() {
    events.close();
    CompletableFuture<Boolean> unused = request.abort(new CancellationException("cancelled"));
  }

  @Override
  public void onHeaders(Response response) {
    headReceived = true;
    restartIdleTimeout(timeouts.betweenChunksMs());
    String type = header(response, HttpHeader.CONTENT_TYPE.asString());
    streaming =
        format == ResponseFormat.MODEL_STREAM
            && response.getStatus() == OK
            && type.startsWith(ResponseFormat.EVENT_STREAM_TYPE);
    events.head(
        EndpointResponseHead.of(
            response.getStatus(), type, header(response, EndpointHeaders.CORRELATION)));
  }

  @Override
  public void onContent(Response response, ByteBuffer content) {
    restartIdleTimeout(timeouts.betweenChunksMs());
    receivedBytes += content.remaining();
    if (ended) {
      content.position(content.limit());
    } else if (receivedBytes > maxResponseBytes) {
      fail(CallFailure.MALFORMED, "response exceeds " + maxResponseBytes + " bytes");
      CompletableFuture<Boolean> unused =
          response.abort(new IllegalStateException("response too large"));
    } else if (streaming) {
      parser.append(content);
    } else {
      body = body.concat(ByteString.copyFrom(content));
    }
  }

  private void onEvent(ByteString payload) {
    if (ended) {
      return;
    }
    if (payload.equals(STREAM_END)) {
      ended = true;
      events.end(usage);
      return;
    }
    UsageReader.read(payload).ifPresent(parsed -> usage = parsed);
    events.data(payload);
  }

  @Override
  public void onComplete(Result result) {
    if (idleTimeout != null) {
      idleTimeout.cancel();
      idleTimeout.destroy();
    }
    if (!ended) {
      Throwable failure = result.getFailure();
      if (failure == null) {
        complete(result.getResponse());
      } else {
        fail(failureKind(), failure.toString());
      }
    }
    onCompletion.run();
  }

  private CallFailure failureKind() {
    if (!sent) {
      return CallFailure.NOT_SENT;
    }
    return headReceived && !timedOut ? CallFailure.TRUNCATED : CallFailure.BROKEN;
  }

  private void complete(Response response) {
    if (streaming) {
      fail(CallFailure.TRUNCATED, "stream ended without [DONE]");
      return;
    }
    if (!hasDeclaredEnd(response)) {
      fail(CallFailure.TRUNCATED, "response has neither Content-Length nor Transfer-Encoding");
      return;
    }
    if (format != ResponseFormat.OPAQUE && response.getStatus() == OK) {
      completeModelResponse();
      return;
    }
    finish(EndpointUsage.none());
  }

  private void completeModelResponse() {
    if (format == ResponseFormat.MODEL_STREAM) {
      fail(CallFailure.MALFORMED, "expected an event stream");
      return;
    }
    UsageReader.read(body)
        .ifPresentOrElse(
            this::finish, () -> fail(CallFailure.MALFORMED, "response has no token counts"));
  }

  private void finish(EndpointUsage responseUsage) {
    ended = true;
    events.data(body);
    events.end(responseUsage);
  }

  private void fail(CallFailure failure, String detail) {
    ended = true;
    events.failure(failure, detail);
  }

  /** Returns whether the response declares where its body ends, so that truncation is detected. */
  private static boolean hasDeclaredEnd(Response response) {
    return response.getStatus() == NO_CONTENT
        || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
        || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void restartIdleTimeout(long timeoutMs) {
    if (idleTimeout != null) {
      idleTimeout.schedule(timeoutMs, TimeUnit.MILLISECONDS);
    }
  }

  private static String header(Response response, String name) {
    HttpField field = response.getHeaders().getField(name);
    return field == null || field.getValue() == null ? "" : field.getValue();
  }
}
