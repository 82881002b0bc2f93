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

/** One whole edge node between callers, a store and a runner on loopback. */
final class EdgeNodeTest {
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private final HttpClient http = HttpClient.newHttpClient();
  private final org.eclipse.jetty.client.HttpClient callers = HttpClients.start("test", 2);
  private RehearsalPlatform platform;
  private EdgeSettings settings;
  private EdgeNode node;

  @BeforeEach
  void start() throws Exception {
    platform = new RehearsalPlatform();
    settings = Rehearsal.settings("edge-1", platform);
    node = EdgeNode.start(settings);
    awaitThat(() -> status(settings.getListen().getReadiness(), "/api/readiness") == 200);
    awaitThat(() -> call("/once/warm", "key", "warm").getStatus() == 200);
    platform.endpointRequests().clear();
  }

  @AfterEach
  void stop() throws Exception {
    node.beginStop();
    assertThat(node.awaitStop()).isTrue();
    platform.close();
    callers.stop();
  }

  private static void awaitThat(BooleanSupplier condition) {
    long endNs = System.nanoTime() + LIMIT.toNanos();
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

  private ContentResponse call(String path, String key, String id) {
    try {
      return callers
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
  void passesRequestAndAnswerThrough() {
    ContentResponse answer = call("/once/x?y=%2f", "key", "id-1");
    assertThat(answer.getStatus()).isEqualTo(200);
    assertThat(answer.getContentAsString()).isEqualTo("ran /once/x?y=%2f");
    assertThat(answer.getHeaders().get("X-Currantslip-Response-Seal")).isEqualTo("mac");
    assertThat(answer.getHeaders().contains("X-Currantslip-Server-Load")).isFalse();
    Map<String, List<String>> seen = platform.endpointRequests().get(0);
    assertThat(seen.get("x-currantslip-request-id")).containsExactly("id-1");
    assertThat(seen.get("x-currantslip-tenant")).containsExactly("crew");
    assertThat(seen.get("x-currantslip-expect-instance")).containsExactly("i-1");
    assertThat(seen.get("host")).containsExactly("h.example");
    assertThat(seen).doesNotContainKey("authorization");
    int leftMs =
        Integer.parseInt(seen.getOrDefault("x-currantslip-deadline-ms", List.of("")).get(0));
    assertThat(leftMs).isAtMost(3_000);
    assertThat(leftMs).isGreaterThan(0);
  }

  @Test
  void passesStreamsThrough() {
    ContentResponse answer = call("/stream/x", "key", "id-2");
    assertThat(answer.getContentAsString()).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(answer.getHeaders().get("X-Currantslip-Response-Seal")).isEqualTo("mac");
  }

  @Test
  void refusesWhatNoRouteOrKeyAllows() {
    assertThat(call("/once/x", "wrong", "id-3").getStatus()).isEqualTo(401);
    assertThat(call("/none/x", "key", "id-4").getStatus()).isEqualTo(404);
    assertThat(platform.endpointRequests()).isEmpty();
  }

  @Test
  void namesItselfInTheDirectoryUntilItStops() {
    String directory = settings.getListen().getDirectory();
    String query = "/api/resolve?name=h.example&region=r&zone=z";
    awaitThat(() -> get(directory, query).body().contains(settings.getListen().getCaller()));
    node.beginStop();
    awaitThat(() -> !get(directory, query).body().contains(settings.getListen().getCaller()));
    assertThat(status(settings.getListen().getReadiness(), "/api/readiness")).isEqualTo(503);
    assertThat(call("/once/late", "key", "id-5").getHeaders().get("Connection")).isEqualTo("close");
  }

  @Test
  void countsRequestsInItsMetrics() {
    call("/once/x", "key", "id-6");
    String address = "127.0.0.1:" + settings.getListen().getMetricsPort();
    assertThat(get(address, "/metrics").body()).contains("currantslip_requests_total");
  }
}
