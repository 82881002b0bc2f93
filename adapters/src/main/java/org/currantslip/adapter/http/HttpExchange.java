package org.currantslip.adapter.http;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.jspecify.annotations.Nullable;

/** Sends one request and buffers the complete response. */
public final class HttpExchange implements Response.Listener {
  private final CompletableFuture<HttpAnswer> future = new CompletableFuture<>();
  private final ByteString.Output body = ByteString.newOutput();
  private final Executor executor;
  private final int maxBytes;
  private volatile boolean sent;

  private HttpExchange(Executor executor, int maxBytes) {
    this.executor = executor;
    this.maxBytes = maxBytes;
  }

  /**
   * Sends a request. The future completes on {@code executor} with the response, or fails with
   * {@link HttpExchangeException}.
   */
  public static CompletableFuture<HttpAnswer> send(
      Request request, Executor executor, long timeoutMs, int maxBytes) {
    HttpExchange exchange = new HttpExchange(executor, maxBytes);
    request
        .followRedirects(false)
        .timeout(timeoutMs, TimeUnit.MILLISECONDS)
        .onRequestBegin(r -> exchange.sent = true)
        .send(exchange);
    return exchange.future;
  }

  @Override
  public void onContent(Response response, ByteBuffer content) {
    if (body.size() + content.remaining() > maxBytes) {
      CompletableFuture<Boolean> unused =
          response.abort(HttpExchangeException.of(true, "response exceeds " + maxBytes + " bytes"));
      return;
    }
    ByteString chunk = ByteString.copyFrom(content);
    body.write(chunk.toByteArray(), 0, chunk.size());
  }

  @Override
  public void onComplete(Result result) {
    Throwable failure = result.getFailure();
    executor.execute(() -> finish(result.getResponse(), failure));
  }

  private void finish(Response response, @Nullable Throwable failure) {
    if (failure == null) {
      future.complete(
          new HttpAnswer(response.getStatus(), response.getHeaders(), body.toByteString()));
    } else {
      future.completeExceptionally(HttpExchangeException.of(sent, failure.toString()));
    }
  }
}
