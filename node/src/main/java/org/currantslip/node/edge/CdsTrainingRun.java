package org.currantslip.node.edge;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.currantslip.adapter.http.FreePorts;
import org.currantslip.adapter.http.HttpClients;
import org.currantslip.adapter.settings.SettingsException;
import org.currantslip.adapter.settings.SettingsLoader;
import org.currantslip.core.common.LogEvent;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.log.LogSetup;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.schema.EdgeSettings;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Starts a few nodes on loopback and sends them requests, so that the classes of a running node are
 * loaded when the build writes its class data sharing (CDS) archive.
 */
final class CdsTrainingRun {
  /** Two nodes watch the store; the third receives its changes from one of them. */
  private static final int NODE_COUNT = 3;

  private static final int CLIENT_THREADS = 2;
  private static final long READY_TIMEOUT_MS = 10_000;
  private static final long POLL_INTERVAL_MS = 20;

  /** Covers several heartbeats and one watch request to the store. */
  private static final long SETTLE_MS = 3_000;

  /** Number of ports in {@link #SETTINGS}. */
  private static final int SETTINGS_PORTS = 5;

  private static final String SETTINGS =
      """
      name = "%s"
      region = "r"
      failure_domain = "z"
      host = "127.0.0.1"
      [listen]
      caller = "127.0.0.1:%d"
      readiness = "127.0.0.1:%d"
      directory = "127.0.0.1:%d"
      peer_port = %d
      metrics_port = %d
      [store]
      address = "%s"
      [stop]
      grace_s = 1
      """;

  /** Loads the classes of the warm-up as well. */
  private static final String WARM_UP = "[warm_up]\nmax_s = 9\n";

  private final RehearsalPlatform platform;
  private final HttpClient client;
  private int callCount;

  private CdsTrainingRun(RehearsalPlatform platform, HttpClient client) {
    this.platform = platform;
    this.client = client;
  }

  /** Runs the workload; throws if a request is not served. */
  static void run() throws Exception {
    HttpClient client = HttpClients.start("rehearsal", CLIENT_THREADS);
    try (RehearsalPlatform platform = new RehearsalPlatform()) {
      new CdsTrainingRun(platform, client).runWorkload();
    } finally {
      HttpClients.stop(client);
    }
  }

  private void runWorkload() throws Exception {
    List<EdgeSettings> settings = new ArrayList<>();
    List<EdgeNode> nodes = new ArrayList<>();
    for (int i = 0; i < NODE_COUNT; i++) {
      EdgeSettings nodeSettings =
          SettingsLoader.loadEdge(edgeSettingsText("rehearsal-" + i, platform) + WARM_UP);
      LogSetup.apply(nodeSettings.getLog());
      settings.add(nodeSettings);
      nodes.add(EdgeNode.start(nodeSettings));
    }
    for (EdgeSettings nodeSettings : settings) {
      awaitReady(nodeSettings);
    }
    platform.putConfig(2);
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SETTLE_MS));
    for (EdgeSettings nodeSettings : settings) {
      int status = call(nodeSettings, RehearsalPlatform.STREAM_PATH);
      EventLog.write(LogEvent.REHEARSED, "node=" + nodeSettings.getName() + " status=" + status);
    }
    nodes.forEach(EdgeNode::beginStop);
    for (EdgeNode node : nodes) {
      node.awaitStop();
    }
  }

  private void awaitReady(EdgeSettings node) throws Exception {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
    while (!isReady(node)) {
      if (System.nanoTime() > endNs) {
        throw new IOException(node.getName() + " is not ready");
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MS));
    }
  }

  private boolean isReady(EdgeSettings node) throws Exception {
    try {
      return call(node, RehearsalPlatform.ONCE_PATH) == HttpStatus.OK_200;
    } catch (ExecutionException e) {
      if (e.getCause() instanceof ConnectException) {
        return false;
      }
      throw e;
    }
  }

  private int call(EdgeSettings node, String path) throws Exception {
    return client
        .newRequest("http://" + node.getListen().getCaller() + path)
        .method("POST")
        .headers(h -> RehearsalPlatform.callerFields("rehearsal-" + ++callCount).forEach(h::put))
        .body(new StringRequestContent("text/plain", "body"))
        .send()
        .getStatus();
  }

  /** Returns the settings of a node that uses free ports on loopback. */
  static EdgeSettings edgeSettings(String name, RehearsalPlatform platform)
      throws IOException, SettingsException {
    return SettingsLoader.loadEdge(edgeSettingsText(name, platform));
  }

  /** Returns the text of these settings. */
  static String edgeSettingsText(String name, RehearsalPlatform platform) throws IOException {
    List<Integer> ports = FreePorts.find(SETTINGS_PORTS);
    return SETTINGS.formatted(
        name,
        ports.get(0),
        ports.get(1),
        ports.get(2),
        ports.get(3),
        ports.get(4),
        platform.storeAddress());
  }
}
