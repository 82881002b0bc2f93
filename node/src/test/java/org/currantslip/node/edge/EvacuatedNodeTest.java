package org.currantslip.node.edge;

import static com.google.common.truth.Truth.assertThat;

import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.schema.EdgeEvacuationSettings;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a whole edge node, on loopback, whose only endpoint is in an evacuated failure domain. */
final class EvacuatedNodeTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final String FAILURE_DOMAIN = "z";

  private final HttpClient client = HttpClients.start("test", 2);
  private RehearsalPlatform platform;

  @BeforeEach
  void start() throws Exception {
    platform = new RehearsalPlatform();
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
    client.stop();
  }

  private static void awaitCondition(BooleanSupplier condition) {
    long endNs = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).isLessThan(endNs);
      LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
    }
  }

  private int send(EdgeSettings node) {
    try {
      return client
          .newRequest("http://" + node.getListen().getCaller() + RehearsalPlatform.ONCE_PATH + "x")
          .method("POST")
          .headers(h -> RehearsalPlatform.callerFields("id").forEach(h::put))
          .body(new StringRequestContent("text/plain", "body"))
          .send()
          .getStatus();
    } catch (ExecutionException e) {
      assertThat(e).hasCauseThat().isInstanceOf(ConnectException.class);
      return 0;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against an order that is not wired through, or obeyed where settings don't ask. */
  @ParameterizedTest
  @ValueSource(ints = {0, 300})
  void orderIsObeyedOnlyIfSettingsTurnItOn(int effectMs) throws Exception {
    EdgeSettings settings =
        CdsTrainingRun.edgeSettings("edge-1", platform).toBuilder()
            .setEvacuation(EdgeEvacuationSettings.newBuilder().setEffectMs(effectMs))
            .build();
    final EdgeNode node = EdgeNode.start(settings);
    awaitCondition(() -> send(settings) == 200);
    platform.putEvacuation(FAILURE_DOMAIN);
    if (effectMs > 0) {
      awaitCondition(() -> send(settings) == 503);
      int sent = platform.endpointRequests().size();
      awaitCondition(() -> platform.evacuationStatus(FAILURE_DOMAIN).equals("complete"));
      assertThat(send(settings)).isEqualTo(503);
      assertThat(platform.endpointRequests()).hasSize(sent);
    } else {
      platform.putConfig(2);
      for (int i = 0; i < 20; i++) {
        assertThat(send(settings)).isEqualTo(200);
      }
      assertThat(platform.evacuationStatus(FAILURE_DOMAIN)).isEmpty();
    }
    node.beginStop();
    assertThat(node.awaitStop()).isTrue();
  }
}
