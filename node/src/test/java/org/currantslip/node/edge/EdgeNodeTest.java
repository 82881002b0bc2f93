package org.currantslip.node.edge;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.base.Strings;
import com.google.common.net.HostAndPort;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.EdgeWarmUpSettings;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a complete edge node with callers, a store and an endpoint on loopback. */
final class EdgeNodeTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int CALLER_COUNT = 8;
  private static final int WARM_UP_REQUESTS = 100;

  private final ExecutorService executor = Executors.newCachedThreadPool();
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
    executor.shutdownNow();
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

  /** Guards against calls of the warm-up that reach endpoints or count as requests. */
  @Test
  void warmsUpWithoutTrace() throws Exception {
    EdgeSettings warmed =
        CdsTrainingRun.edgeSettings("edge-2", platform).toBuilder()
            .setWarmUp(EdgeWarmUpSettings.newBuilder().setMaxS(9))
            .build();
    EdgeNode second = EdgeNode.start(warmed);
    awaitCondition(() -> status(warmed.getListen().getReadiness(), "/api/readiness") == 200);
    String page = get("127.0.0.1:" + warmed.getListen().getMetricsPort(), "/metrics").body();
    second.beginStop();
    assertThat(second.awaitStop()).isTrue();
    assertThat(page).containsMatch("currantslip_start_calls [1-9]");
    assertThat(page).doesNotContain("currantslip_requests_total");
    assertThat(platform.endpointRequests()).isEmpty();
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

  /** Sends one request over an open connection; returns its status line, empty if it was closed. */
  private static String exchange(Socket socket, String path, String id) throws IOException {
    String request =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n"
            + "X-Currantslip-Request-Id: "
            + id
            + "\r\nContent-Length: 4\r\n\r\nbody";
    socket.getOutputStream().write(request.getBytes(UTF_8));
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(socket.getInputStream(), UTF_8));
    String status = Strings.nullToEmpty(reader.readLine());
    int length = 0;
    for (String line = reader.readLine();
        line != null && !line.isEmpty();
        line = reader.readLine()) {
      length = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : length;
    }
    reader.skip(length);
    return status;
  }

  /** Sends requests over kept connections until the node accepts no connection. */
  private List<String> answeredIdsUntilStopped(String caller) {
    List<String> answered = new ArrayList<>();
    HostAndPort address = HostAndPort.fromString(settings.getListen().getCaller());
    int count = 0;
    while (true) {
      try (Socket socket = new Socket(address.getHost(), address.getPort())) {
        String id = caller + "-" + count;
        while (!exchange(socket, "/once/kept", id).isEmpty()) {
          answered.add(id);
          count++;
          id = caller + "-" + count;
        }
        count++;
      } catch (ConnectException e) {
        return answered;
      } catch (IOException e) {
        count++;
      }
    }
  }

  @Test
  void answersRequestsUntilItsConnectionsAreClosed() throws Exception {
    final List<CompletableFuture<List<String>>> callers =
        IntStream.range(0, CALLER_COUNT)
            .mapToObj(
                i ->
                    CompletableFuture.supplyAsync(() -> answeredIdsUntilStopped("c" + i), executor))
            .toList();
    awaitCondition(() -> platform.endpointRequests().size() > WARM_UP_REQUESTS);
    node.beginStop();
    assertThat(node.awaitStop()).isTrue();
    Set<String> answered =
        callers.stream().flatMap(c -> c.join().stream()).collect(Collectors.toSet());

    assertThat(
            platform.endpointRequests().stream()
                .map(fields -> fields.getOrDefault("x-currantslip-request-id", List.of()).get(0))
                .filter(id -> !answered.contains(id)))
        .isEmpty();
  }

  private static boolean isOpen(HostAndPort address) {
    try (Socket socket = new Socket(address.getHost(), address.getPort())) {
      return socket.isConnected();
    } catch (ConnectException e) {
      return false;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void startingNodeReadsNoRequestBeforeItKnowsConfiguration() throws Exception {
    try (RehearsalPlatform unconfigured = RehearsalPlatform.withoutConfig()) {
      EdgeSettings other = CdsTrainingRun.edgeSettings("edge-2", unconfigured);
      final EdgeNode starting = EdgeNode.start(other);
      HostAndPort address = HostAndPort.fromString(other.getListen().getCaller());
      assertThat(isOpen(address)).isFalse();
      assertThat(status(other.getListen().getReadiness(), "/api/readiness")).isEqualTo(503);

      unconfigured.putConfig(1);
      awaitCondition(() -> isOpen(address));
      try (Socket socket = new Socket(address.getHost(), address.getPort())) {
        assertThat(exchange(socket, "/once/first", "first")).startsWith("HTTP/1.1 200 ");
      }
      starting.beginStop();
      assertThat(starting.awaitStop()).isTrue();
    }
  }

  @Test
  void stopsBeforeItsPortForCallersIsOpen() throws Exception {
    try (RehearsalPlatform unconfigured = RehearsalPlatform.withoutConfig()) {
      EdgeNode starting = EdgeNode.start(CdsTrainingRun.edgeSettings("edge-2", unconfigured));
      starting.beginStop();
      assertThat(starting.awaitStop()).isTrue();
    }
  }

  @Test
  void answersRequestsWhenStoppedBeforeItIsReady() throws Exception {
    EdgeSettings other;
    try (RehearsalPlatform closed = new RehearsalPlatform()) {
      other = CdsTrainingRun.edgeSettings("edge-2", closed);
    }
    EdgeNode starting = EdgeNode.start(other);
    HostAndPort address = HostAndPort.fromString(other.getListen().getCaller());
    awaitCondition(() -> isOpen(address));
    try (Socket socket = new Socket(address.getHost(), address.getPort())) {
      assertThat(exchange(socket, "/once/early", "early")).startsWith("HTTP/1.1 503 ");
      assertThat(status(other.getListen().getReadiness(), "/api/readiness")).isEqualTo(503);
      starting.beginStop();
      assertThat(exchange(socket, "/once/late", "late")).startsWith("HTTP/1.1 503 ");
    }
    assertThat(starting.awaitStop()).isFalse();
  }

  /** Sends a request that its endpoint does not answer; returns the status line to come. */
  private CompletableFuture<String> sendPendingRequest(Socket socket) {
    CompletableFuture<String> status =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return exchange(socket, RehearsalPlatform.PENDING_PATH, "pending");
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            },
            executor);
    awaitCondition(() -> !platform.endpointRequests().isEmpty());
    return status;
  }

  private Socket openWhenReady(EdgeSettings other) throws IOException {
    awaitCondition(() -> status(other.getListen().getReadiness(), "/api/readiness") == 200);
    HostAndPort address = HostAndPort.fromString(other.getListen().getCaller());
    return new Socket(address.getHost(), address.getPort());
  }

  @Test
  void answersRequestThatOutlastsItsStop() throws Exception {
    EdgeSettings other = CdsTrainingRun.edgeSettings("edge-2", platform);
    EdgeNode stopping = EdgeNode.start(other);
    try (Socket socket = openWhenReady(other)) {
      CompletableFuture<String> status = sendPendingRequest(socket);
      stopping.beginStop();

      assertThat(stopping.awaitStop()).isFalse();
      assertThat(status.join()).startsWith("HTTP/1.1 502 ");
    }
  }

  @Test
  void answersRequestInProgressWhenItIsSuperseded() throws Exception {
    EdgeSettings other = CdsTrainingRun.edgeSettings("edge-2", platform);
    EdgeNode superseded = EdgeNode.start(other);
    try (Socket socket = openWhenReady(other)) {
      CompletableFuture<String> status = sendPendingRequest(socket);
      EdgeNode successor = EdgeNode.start(CdsTrainingRun.edgeSettings("edge-2", platform));

      assertThat(superseded.awaitStop()).isFalse();
      assertThat(status.join()).startsWith("HTTP/1.1 502 ");
      successor.beginStop();
      assertThat(successor.awaitStop()).isTrue();
    }
  }

  @Test
  void countsRequestsInMetrics() {
    post("/once/x", "key", "id-6");
    String address = "127.0.0.1:" + settings.getListen().getMetricsPort();
    assertThat(get(address, "/metrics").body()).contains("currantslip_requests_total");
  }
}
