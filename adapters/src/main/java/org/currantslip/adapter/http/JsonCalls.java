package org.currantslip.adapter.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/** Small calls whose bodies are JSON. Failures are {@link PlatformException}. */
public final class JsonCalls {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String JSON = "application/json";
  private static final int OK = 200;
  private static final int MAX_BYTES = 8 << 20;

  private final HttpClient client;
  private final Executor executor;
  private final long timeoutMs;

  private JsonCalls(HttpClient client, Executor executor, long timeoutMs) {
    this.client = client;
    this.executor = executor;
    this.timeoutMs = timeoutMs;
  }

  /** Returns calls whose futures complete on {@code executor}. */
  public static JsonCalls create(HttpClient client, Executor executor, long timeoutMs) {
    return new JsonCalls(client, executor, timeoutMs);
  }

  /** Gets a body and reads it; any status but 200 is a failure. */
  public <T> CompletableFuture<T> get(String url, Function<ByteString, T> reader) {
    return HttpExchange.send(client.newRequest(url), executor, timeoutMs, MAX_BYTES)
        .handle(
            (answer, failure) -> {
              if (failure != null) {
                throw PlatformException.of(failure.toString());
              }
              if (answer.status() != OK) {
                throw PlatformException.of("status " + answer.status() + " from " + url);
              }
              return read(answer.body(), reader);
            });
  }

  /** Posts a JSON body and returns the complete answer, whatever its status. */
  public CompletableFuture<HttpAnswer> post(String url, JsonNode body) {
    Request request =
        client
            .newRequest(url)
            .method(HttpMethod.POST)
            .body(new StringRequestContent(JSON, body.toString()));
    return HttpExchange.send(request, executor, timeoutMs, MAX_BYTES);
  }

  /** Reads a JSON body. */
  public static JsonNode parse(ByteString body) {
    try {
      return MAPPER.readTree(body.newInput());
    } catch (IOException e) {
      throw PlatformException.of("malformed JSON: " + e.getMessage());
    }
  }

  /** Returns the base address of an endpoint or service, with its scheme. */
  public static String baseOf(String address) {
    return address.contains("://") ? address : "http://" + address;
  }

  private static <T> T read(ByteString body, Function<ByteString, T> reader) {
    try {
      return reader.apply(body);
    } catch (IllegalArgumentException e) {
      throw PlatformException.of("malformed answer: " + e.getMessage());
    }
  }
}
