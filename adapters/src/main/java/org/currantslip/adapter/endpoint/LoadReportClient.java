package org.currantslip.adapter.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.currantslip.adapter.http.JsonHttpClient;
import org.currantslip.adapter.http.PlatformException;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.schema.EndpointRecord;
import org.eclipse.jetty.client.HttpClient;

/** Fetches load reports from endpoints over HTTP. */
public final class LoadReportClient implements LoadReportSource {
  private static final long TIMEOUT_MS = 1000;

  private final JsonHttpClient jsonHttpClient;

  private LoadReportClient(JsonHttpClient jsonHttpClient) {
    this.jsonHttpClient = jsonHttpClient;
  }

  /** Returns a client whose futures complete on {@code executor}. */
  public static LoadReportClient create(HttpClient client, Executor executor) {
    return new LoadReportClient(JsonHttpClient.create(client, executor, TIMEOUT_MS));
  }

  @Override
  public CompletableFuture<EndpointLoad> fetch(EndpointRecord endpoint) {
    String url = JsonHttpClient.baseUrl(endpoint.getAddress()) + "/load";
    return jsonHttpClient.get(url, body -> parse(endpoint.getId(), body));
  }

  private static EndpointLoad parse(String endpointId, ByteString body) {
    JsonNode node = JsonHttpClient.parse(body);
    boolean complete =
        node.path("running").isInt()
            && node.path("waiting").isInt()
            && node.path("tokens_per_s").isNumber()
            && node.path("reported_ms").isIntegralNumber();
    if (!complete) {
      throw PlatformException.of(
          "load report has no valid running, waiting, tokens_per_s or reported_ms");
    }
    return new EndpointLoad(
        endpointId,
        node.path("running").asInt(),
        node.path("waiting").asInt(),
        node.path("tokens_per_s").asDouble(),
        node.path("reported_ms").asLong());
  }
}
