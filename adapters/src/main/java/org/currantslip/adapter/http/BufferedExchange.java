package org.currantslip.adapter.http;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.jspecify.annotations.Nullable;

/** Sends one request and buffers the complete response. */
public final class BufferedExchange implements Response.Listener {
  /**
   * Limits of one exchange.
   *
   * @param idleMs longest time in which nothing arrives
   * @param totalMs longest time from the call to the end of the response
   */
  public record Timeouts(long idleMs, long totalMs) {}

  private final CompletableFuture<BufferedResponse> future = new CompletableFuture<>();
  private final ByteString.Output body = ByteString.newOutput();
  private final Executor executor;
  private final int maxBytes;
  private final Runnable progressListener;
  private volatile boolean sent;

  private BufferedExchange(Executor executor, int maxBytes, Runnable progressListener) {
    this.executor = executor;
    this.maxBytes = maxBytes;
    this.progressListener = progressListener;
  }

  /**
   * Sends a request. The future completes on {@code executor} with the response, or fails with
   * {@link ExchangeException}.
   */
  public static CompletableFuture<BufferedResponse> send(
      Request request, Executor executor, long timeoutMs, int maxBytes) {
    return send(request, executor, new Timeouts(timeoutMs, timeoutMs), maxBytes, () -> {});
  }

  /**
   * Sends a request whose response may take long to arrive.
   *
   * @param progressListener runs on a thread of the client when content of a success has arrived
   */
  public static CompletableFuture<BufferedResponse> send(
      Request request,
      Executor executor,
      Timeouts timeouts,
      int maxBytes,
      Runnable progressListener) {
    BufferedExchange exchange = new BufferedExchange(executor, maxBytes, progressListener);
    request
        .followRedirects(false)
        .idleTimeout(timeouts.idleMs(), TimeUnit.MILLISECONDS)
        .timeout(timeouts.totalMs(), TimeUnit.MILLISECONDS)
        .onRequestBegin(exchange::onBegin)
        .send(exchange);
    return exchange.future;
  }

  private void onBegin(Request request) {
    sent = true;
    ReceiveLimit.restart(request);
  }

  @Override
  public void onHeaders(Response response) {
    ReceiveLimit.restart(response.getRequest());
  }

  @Override
  public void onContent(Response response, ByteBuffer content) {
    ReceiveLimit.onContent(response.getRequest(), content.remaining());
    if (body.size() + content.remaining() > maxBytes) {
      CompletableFuture<Boolean> unused =
          response.abort(ExchangeException.of(true, "response exceeds " + maxBytes + " bytes"));
      return;
    }
    if (HttpStatus.isSuccess(response.getStatus())) {
      progressListener.run();
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
          new BufferedResponse(response.getStatus(), response.getHeaders(), body.toByteString()));
    } else {
      future.completeExceptionally(ExchangeException.of(sent, failure.toString()));
    }
  }
}
