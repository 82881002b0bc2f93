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

/**
 * Sends small HTTP requests with JSON bodies.
 *
 * <p>{@link #get} fails with {@link PlatformException}, {@link #post} with {@link
 * ExchangeException}.
 */
public final class JsonHttpClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String JSON_CONTENT_TYPE = "application/json";
  private static final int OK = 200;
  private static final int MAX_RESPONSE_BYTES = 8 << 20;

  private final HttpClient client;
  private final Executor executor;
  private final long timeoutMs;

  private JsonHttpClient(HttpClient client, Executor executor, long timeoutMs) {
    this.client = client;
    this.executor = executor;
    this.timeoutMs = timeoutMs;
  }

  /** Returns an instance whose futures complete on {@code executor}. */
  public static JsonHttpClient create(HttpClient client, Executor executor, long timeoutMs) {
    return new JsonHttpClient(client, executor, timeoutMs);
  }

  /** Sends a GET request and parses the response; any status other than 200 is a failure. */
  public <T> CompletableFuture<T> get(String url, Function<ByteString, T> reader) {
    return BufferedExchange.send(client.newRequest(url), executor, timeoutMs, MAX_RESPONSE_BYTES)
        .handle(
            (response, failure) -> {
              if (failure != null) {
                throw PlatformException.of(failure.toString());
              }
              if (response.status() != OK) {
                throw PlatformException.of("HTTP status " + response.status() + " from " + url);
              }
              return read(response.body(), reader);
            });
  }

  /** Posts a JSON body and returns the response, whatever its status. */
  public CompletableFuture<BufferedResponse> post(String url, JsonNode body) {
    Request request =
        client
            .newRequest(url)
            .method(HttpMethod.POST)
            .body(new StringRequestContent(JSON_CONTENT_TYPE, body.toString()));
    return BufferedExchange.send(request, executor, timeoutMs, MAX_RESPONSE_BYTES);
  }

  /** Parses a JSON body. */
  public static JsonNode parse(ByteString body) {
    try {
      return MAPPER.readTree(body.newInput());
    } catch (IOException e) {
      throw PlatformException.of("malformed JSON: " + e.getMessage());
    }
  }

  /** Returns the base URL of an address; the scheme defaults to {@code http}. */
  public static String baseUrl(String address) {
    return address.contains("://") ? address : "http://" + address;
  }

  private static <T> T read(ByteString body, Function<ByteString, T> reader) {
    try {
      return reader.apply(body);
    } catch (IllegalArgumentException e) {
      throw PlatformException.of("malformed response: " + e.getMessage());
    }
  }
}
