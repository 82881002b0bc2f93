package org.currantslip.standin.caller;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.currantslip.adapter.http.HttpClients;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpField;

/** Sends calls and collects their responses. */
public final class CallerClient implements AutoCloseable {
  private static final int THREADS = 16;
  private static final long TIMEOUT_MS = 30_000;

  private final HttpClient client;

  private CallerClient(HttpClient client) {
    this.client = client;
  }

  /** Returns a started client. */
  public static CallerClient start() {
    return new CallerClient(HttpClients.start("caller", THREADS));
  }

  /** Sends a call; the future never fails, errors are in {@link CallerAnswer#failure}. */
  public CompletableFuture<CallerAnswer> send(CallerCall call) {
    return send(call, bytes -> {});
  }

  /** Sends a call and passes each part of the body to {@code onPart} as it arrives. */
  public CompletableFuture<CallerAnswer> send(CallerCall call, Consumer<String> onPart) {
    Request request =
        client
            .newRequest("http://" + call.address() + call.path())
            .method(call.method())
            .timeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .headers(h -> call.headers().forEach(h::put));
    if (!call.body().isEmpty()) {
      request.body(new StringRequestContent("application/json", call.body()));
    }
    ResponseCollector collector = new ResponseCollector(onPart);
    request.send(collector);
    return collector.future;
  }

  /** Sends a call and waits for its response. */
  public CallerAnswer ask(CallerCall call) {
    return send(call).join();
  }

  @Override
  public void close() {
    HttpClients.stop(client);
  }

  private static final class ResponseCollector implements Response.Listener {
    private final CompletableFuture<CallerAnswer> future = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final long startNanos = System.nanoTime();
    private final Consumer<String> onPart;
    private long firstByteNanos;

    ResponseCollector(Consumer<String> onPart) {
      this.onPart = onPart;
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
      if (body.size() == 0) {
        firstByteNanos = System.nanoTime() - startNanos;
      }
      byte[] part = new byte[content.remaining()];
      content.get(part);
      body.writeBytes(part);
      onPart.accept(new String(part, StandardCharsets.UTF_8));
    }

    @Override
    public void onComplete(Result result) {
      long totalNanos = System.nanoTime() - startNanos;
      Response response = result.getResponse();
      Map<String, String> headers = new HashMap<>();
      for (HttpField field : response.getHeaders()) {
        headers.put(field.getName().toLowerCase(Locale.ROOT), field.getValue());
      }
      Throwable failure = result.getFailure();
      future.complete(
          new CallerAnswer(
              failure == null ? "" : failure.toString(),
              response.getStatus(),
              headers,
              body.toString(StandardCharsets.UTF_8),
              firstByteNanos,
              totalNanos));
    }
  }
}
