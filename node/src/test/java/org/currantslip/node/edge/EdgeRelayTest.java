package org.currantslip.node.edge;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests two nodes on loopback, one of which loses its path to the endpoint. */
final class EdgeRelayTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int NO_REDIRECT = 0;

  private final org.eclipse.jetty.client.HttpClient callers = HttpClients.start("test", 2);
  private final HttpClient http = HttpClient.newHttpClient();
  private final org.eclipse.jetty.client.HttpClient endpointClient = EdgeNode.newEndpointClient();
  private final AtomicInteger endpointPort = new AtomicInteger(NO_REDIRECT);
  private RehearsalPlatform platform;
  private EdgeSettings cutSettings;
  private EdgeSettings helperSettings;
  private EdgeNode cut;
  private EdgeNode helper;
  private int lastId;

  /** How new connections of the node that is cut off end. */
  private enum Loss {
    REFUSED,
    SILENT
  }

  @BeforeEach
  void start() throws Exception {
    platform = new RehearsalPlatform();
    cutSettings = CdsTrainingRun.edgeSettings("edge-1", platform);
    helperSettings = CdsTrainingRun.edgeSettings("edge-2", platform);
    endpointClient.stop();
    endpointClient.setSocketAddressResolver(
        (host, port, context, promise) -> {
          int redirect = endpointPort.get();
          int target = redirect == NO_REDIRECT ? port : redirect;
          promise.succeeded(List.of(new InetSocketAddress(host, target)));
        });
    endpointClient.start();
    cut = EdgeNode.start(cutSettings, endpointClient);
    helper = EdgeNode.start(helperSettings);
    for (EdgeSettings node : List.of(cutSettings, helperSettings)) {
      awaitCondition(() -> isReady(node));
      awaitCondition(() -> post(node, "/once/warm").getStatus() == 200);
      awaitCondition(() -> isInDirectory(helperSettings, node));
    }
  }

  @AfterEach
  void stop() throws Exception {
    cut.beginStop();
    helper.beginStop();
    assertThat(cut.awaitStop()).isTrue();
    assertThat(helper.awaitStop()).isTrue();
    platform.close();
    HttpClients.stop(callers);
  }

  private static void awaitCondition(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(endNs);
      LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
    }
  }

  private HttpResponse<String> get(String address, String path) {
    try {
      URI uri = URI.create("http://" + address + path);
      return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean isReady(EdgeSettings node) {
    return get(node.getListen().getReadiness(), "/api/readiness").statusCode() == 200;
  }

  private boolean isInDirectory(EdgeSettings asked, EdgeSettings node) {
    return get(asked.getListen().getDirectory(), "/api/resolve?name=h.example&region=r&zone=z")
        .body()
        .contains(node.getListen().getCaller());
  }

  private ContentResponse post(EdgeSettings node, String path) {
    lastId++;
    try {
      return callers
          .newRequest("http://" + node.getListen().getCaller() + path)
          .method("POST")
          .headers(
              h ->
                  h.put("Host", "h.example")
                      .put("Authorization", "Bearer key")
                      .put("X-Currantslip-Request-Id", "id-" + lastId)
                      .put("X-Currantslip-Deadline-Ms", "1500"))
          .body(new StringRequestContent("text/plain", "body"))
          .send();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends requests to both nodes; returns whether the one that is cut off served its own. */
  private boolean isServedAtBoth() {
    boolean served = post(helperSettings, "/once/x").getStatus() == 200;
    return post(cutSettings, "/once/x").getStatus() == 200 && served;
  }

  /** Guards against callers that are refused while a peer reaches the endpoint. */
  @ParameterizedTest
  @EnumSource(Loss.class)
  void peerServesCallersOfNodeThatIsCutOff(Loss loss) throws Exception {
    ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    endpointPort.set(silent.getLocalPort());
    if (loss == Loss.REFUSED) {
      silent.close();
    }
    awaitCondition(this::isServedAtBoth);
    awaitCondition(() -> !isInDirectory(helperSettings, cutSettings));

    ContentResponse stream = post(cutSettings, "/stream/x");
    assertThat(stream.getContentAsString()).isEqualTo("id: 1\ndata: a\n\n");
    assertThat(stream.getHeaders().get("X-Currantslip-Response-Seal")).isEqualTo("mac");
    assertThat(relaysSent()).isGreaterThan(0.0);

    endpointPort.set(NO_REDIRECT);
    silent.close();
    awaitCondition(() -> isServedAtBoth() && isInDirectory(helperSettings, cutSettings));
    assertThat(isReady(cutSettings)).isTrue();
  }

  private double relaysSent() {
    InetSocketAddress address =
        new InetSocketAddress(
            HostAndPort.fromString(cutSettings.getListen().getCaller()).getHost(),
            cutSettings.getListen().getMetricsPort());
    return get(address.getHostString() + ":" + address.getPort(), "/metrics")
        .body()
        .lines()
        .filter(line -> line.startsWith("currantslip_relays_sent_total"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }
}
