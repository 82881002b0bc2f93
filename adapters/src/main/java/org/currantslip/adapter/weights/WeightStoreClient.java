package org.currantslip.adapter.weights;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.currantslip.adapter.http.JsonHttpClient;
import org.currantslip.adapter.http.PlatformException;
import org.eclipse.jetty.client.HttpClient;

/** Requests weight fetches from the weight store over HTTP. */
public final class WeightStoreClient implements WeightStore {
  private static final long TIMEOUT_MS = 600_000;
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;

  private final JsonHttpClient jsonHttpClient;
  private final String url;

  private WeightStoreClient(JsonHttpClient jsonHttpClient, String url) {
    this.jsonHttpClient = jsonHttpClient;
    this.url = url;
  }

  /** Returns a client whose futures complete on {@code executor}. */
  public static WeightStoreClient create(HttpClient client, URI baseAddress, Executor executor) {
    return new WeightStoreClient(
        JsonHttpClient.create(client, executor, TIMEOUT_MS),
        baseAddress.resolve("/fetch").toString());
  }

  @Override
  public CompletableFuture<Boolean> fetch(String model, String version) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("model", model).put("version", version);
    return jsonHttpClient
        .post(url, body)
        .handle(
            (response, failure) -> {
              if (failure != null) {
                throw PlatformException.of(failure.toString());
              }
              return switch (response.status()) {
                case OK -> true;
                case TOO_MANY_REQUESTS -> false;
                default -> throw PlatformException.of("HTTP status " + response.status());
              };
            });
  }
}
