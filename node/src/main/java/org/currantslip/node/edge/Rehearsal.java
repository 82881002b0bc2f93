package org.currantslip.node.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
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
 * A small fleet on loopback that serves a few requests, so that the classes of a running node are
 * loaded when the build keeps them in its archive.
 */
final class Rehearsal {
  /** Two nodes watch the store, the third follows one of them. */
  private static final int NODES = 3;

  private static final int CLIENT_THREADS = 2;
  private static final long READY_MS = 10_000;
  private static final long STEP_MS = 20;

  /** Several heartbeats and one watch of the store. */
  private static final long LIVE_MS = 3_000;

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

  private final RehearsalPlatform platform;
  private final HttpClient callers;
  private int calls;

  private Rehearsal(RehearsalPlatform platform, HttpClient callers) {
    this.platform = platform;
    this.callers = callers;
  }

  /** Runs a rehearsal; fails when a request is not served. */
  static void run() throws Exception {
    HttpClient callers = HttpClients.start("rehearsal", CLIENT_THREADS);
    try (RehearsalPlatform platform = new RehearsalPlatform()) {
      new Rehearsal(platform, callers).play();
    } finally {
      HttpClients.stop(callers);
    }
  }

  private void play() throws Exception {
    List<EdgeSettings> settings = new ArrayList<>();
    List<EdgeNode> nodes = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      EdgeSettings its = settings("rehearsal-" + i, platform);
      LogSetup.apply(its.getLog());
      settings.add(its);
      nodes.add(EdgeNode.start(its));
    }
    for (EdgeSettings its : settings) {
      awaitServed(its);
    }
    platform.putConfig(2);
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LIVE_MS));
    for (EdgeSettings its : settings) {
      int status = call(its, RehearsalPlatform.STREAM_PATH);
      EventLog.write(LogEvent.REHEARSED, "node=" + its.getName() + " status=" + status);
    }
    nodes.forEach(EdgeNode::beginStop);
    for (EdgeNode node : nodes) {
      node.awaitStop();
    }
  }

  private void awaitServed(EdgeSettings node) throws Exception {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
    int status = call(node, RehearsalPlatform.ONCE_PATH);
    while (status != HttpStatus.OK_200) {
      if (System.nanoTime() > endNs) {
        throw new IOException(node.getName() + " still answers " + status);
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STEP_MS));
      status = call(node, RehearsalPlatform.ONCE_PATH);
    }
  }

  private int call(EdgeSettings node, String path) throws Exception {
    return callers
        .newRequest("http://" + node.getListen().getCaller() + path)
        .method("POST")
        .headers(h -> RehearsalPlatform.callerFields("rehearsal-" + ++calls).forEach(h::put))
        .body(new StringRequestContent("text/plain", "body"))
        .send()
        .getStatus();
  }

  /** Returns settings of a node on free ports of this machine. */
  static EdgeSettings settings(String name, RehearsalPlatform platform)
      throws IOException, SettingsException {
    return SettingsLoader.loadEdge(
        SETTINGS.formatted(
            name,
            freePort(),
            freePort(),
            freePort(),
            freePort(),
            freePort(),
            platform.storeAddress()));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
