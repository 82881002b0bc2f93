package org.currantslip.node.edge;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a complete edge node with callers, a store and an endpoint on loopback. */
final class EdgeNodeTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient http = HttpClient.newHttpClient();
  private final org.eclipse.jetty.client.HttpClient callerClient = HttpClients.start("test", 2);
  private RehearsalPlatform platform;
  private EdgeSettings settings;
  private EdgeNode node;

  @BeforeEach
  void start() throws Exception {
    platform = new RehearsalPlatform();
    settings = CdsTrainingRun.edgeSettings("edge-1", platform);
    node = EdgeNode.start(settings);
    awaitCondition(() -> status(settings.getListen().getReadiness(), "/api/readiness") == 200);
    awaitCondition(() -> post("/once/warm", "key", "warm").getStatus() == 200);
    platform.endpointRequests().clear();
  }

  @AfterEach
  void stop() throws Exception {
    node.beginStop();
    assertThat(node.awaitStop()).isTrue();
    platform.close();
    callerClient.stop();
  }

  private static void awaitCondition(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(endNs);
      LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
    }
  }

  private int status(String address, String path) {
    return get(address, path).statusCode();
  }

  private HttpResponse<String> get(String address, String path) {
    try {
      URI uri = URI.create("http://" + address + path);
      return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private ContentResponse post(String path, String key, String id) {
    try {
      return callerClient
          .newRequest("http://" + settings.getListen().getCaller() + path)
          .method("POST")
          .headers(
              h ->
                  h.put("Host", "h.example")
                      .put("Authorization", "Bearer " + key)
                      .put("X-Currantslip-Request-Id", id)
                      .put("X-Currantslip-Tenant", "forged")
                      .put("X-Currantslip-Deadline-Ms", "3000"))
          .body(new StringRequestContent("text/plain", "body"))
          .send();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void forwardsRequestAndResponse() {
    ContentResponse response = post("/once/x?y=%2f", "key", "id-1");
    assertThat(response.getStatus()).isEqualTo(200);
    assertThat(response.getContentAsString()).isEqualTo("ran /once/x?y=%2f");
    assertThat(response.getHeaders().get("X-Currantslip-Response-Seal")).isEqualTo("mac");
    assertThat(response.getHeaders().contains("X-Currantslip-Server-Load")).isFalse();
    Map<String, List<String>> forwardedHeaders = platform.endpointRequests().get(0);
    assertThat(forwardedHeaders.get("x-currantslip-request-id")).containsExactly("id-1");
    assertThat(forwardedHeaders.get("x-currantslip-tenant")).containsExactly("crew");
    assertThat(forwardedHeaders.get("x-currantslip-expect-instance")).containsExactly("i-1");
    assertThat(forwardedHeaders.get("host")).containsExactly("h.example");
    assertThat(forwardedHeaders).doesNotContainKey("authorization");
    int remainingMs =
        Integer.parseInt(
            forwardedHeaders.getOrDefault("x-currantslip-deadline-ms", List.of("")).get(0));
    assertThat(remainingMs).isAtMost(3_000);
    assertThat(remainingMs).isGreaterThan(0);
  }

  @Test
  void forwardsStreams() {
    ContentResponse response = post("/stream/x", "key", "id-2");
    assertThat(response.getContentAsString()).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(response.getHeaders().get("X-Currantslip-Response-Seal")).isEqualTo("mac");
  }

  @Test
  void rejectsUnknownRouteAndWrongKey() {
    assertThat(post("/once/x", "wrong", "id-3").getStatus()).isEqualTo(401);
    assertThat(post("/none/x", "key", "id-4").getStatus()).isEqualTo(404);
    assertThat(platform.endpointRequests()).isEmpty();
  }

  @Test
  void listsItselfInDirectoryUntilStopped() {
    String directory = settings.getListen().getDirectory();
    String query = "/api/resolve?name=h.example&region=r&zone=z";
    awaitCondition(() -> get(directory, query).body().contains(settings.getListen().getCaller()));
    node.beginStop();
    awaitCondition(() -> !get(directory, query).body().contains(settings.getListen().getCaller()));
    assertThat(status(settings.getListen().getReadiness(), "/api/readiness")).isEqualTo(503);
    assertThat(post("/once/late", "key", "id-5").getHeaders().get("Connection")).isEqualTo("close");
  }

  @Test
  void countsRequestsInMetrics() {
    post("/once/x", "key", "id-6");
    String address = "127.0.0.1:" + settings.getListen().getMetricsPort();
    assertThat(get(address, "/metrics").body()).contains("currantslip_requests_total");
  }
}
