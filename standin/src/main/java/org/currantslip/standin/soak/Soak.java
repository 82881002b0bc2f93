package org.currantslip.standin.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.currantslip.platform.RehearsalPlatform;
import org.currantslip.standin.http.StandinServer;
import org.currantslip.standin.object.ObjectApi;

/** One seeded run: a fleet, its callers, overlapping faults, and checks after recovery. */
final class Soak implements AutoCloseable {
  private static final int ENDPOINTS = 3;
  private static final int CALLERS = 8;
  private static final int MAX_FAULT_GAP_MS = 1_200;
  private static final int MAX_FAULT_MS = 3_000;

  /** Mean number of fault gaps between two returns of the store from an older copy. */
  private static final int GAPS_PER_RESTORE = 8;

  private static final int STORE_RESTORE_MS = 300;

  /** Maximum time to recover after the last fault; equals recovery_s of the sites. */
  private static final long MAX_RECOVERY_MS = 12_000;

  /** Maximum time until a configuration is in force on all nodes. */
  private static final long MAX_CONFIG_MS = 3_000;

  private static final int RECOVERY_CALLS = 50;
  private static final long POLL_MS = 50;
  private static final int OK = 200;
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CONFIG_KIND = "config";
  private static final String CONFIG_NAME = "main";
  private static final String LATE_PATH = "/late/";

  private final Random random;

  /** A generator of its own keeps the other faults of a seed as they are. */
  private final Random restores;

  private final SoakRecorder recorder = new SoakRecorder();
  private final StandinServer server = StandinServer.start();
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<FaultProxy> proxies = new ArrayList<>();
  private final List<Thread> faults = new ArrayList<>();
  private final ObjectApi objectApi;
  private final int storePort;
  private final FaultProxy storeProxy;
  private long configVersion = 1;

  private Soak(long seed, int nodeCount, Path jar, Path dir) throws Exception {
    random = new Random(seed);
    restores = new Random(~seed);
    objectApi = ObjectApi.create(server.delays(), 0, 0);
    storePort = server.add("127.0.0.1", 0, objectApi, seed);
    for (int i = 0; i < ENDPOINTS; i++) {
      SoakEndpoint endpoint = SoakEndpoint.create(recorder, server.delays(), seed + i);
      FaultProxy proxy = FaultProxy.to(server.add("127.0.0.1", 0, endpoint, seed));
      proxies.add(proxy);
      create("servers", "i-" + i, RehearsalPlatform.endpointEntry(proxy.port()));
    }
    create(CONFIG_KIND, CONFIG_NAME, config(RehearsalPlatform.ONCE_PATH));
    Files.createDirectories(dir);
    // All nodes share one proxy: with different store addresses they do not accept each other.
    storeProxy = FaultProxy.to(storePort);
    proxies.add(storeProxy);
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(NodeProcess.start("node-" + i, jar, dir, storeProxy.port()));
    }
  }

  /** Runs one seed with faults for {@code seconds} and returns the violated guarantees. */
  static List<String> runSeed(long seed, int seconds, int nodes, Path jar, Path dir)
      throws Exception {
    try (Soak soak = new Soak(seed, nodes, jar, dir)) {
      soak.awaitServing(MAX_RECOVERY_MS + MAX_RECOVERY_MS);
      SoakCallers callers =
          SoakCallers.start(soak.nodes, soak.proxies, soak.recorder, CALLERS, seed);
      soak.injectFaults(seconds);
      soak.awaitServing(MAX_RECOVERY_MS);
      soak.checkRecovered(callers);
      callers.stop();
      System.out.println("seed " + seed + " " + soak.recorder.outcomes());
      return soak.recorder.allViolations(RehearsalPlatform.ONCE_PATH);
    }
  }

  private String config(String... oncePaths) {
    return RehearsalPlatform.config(configVersion, List.of(oncePaths));
  }

  private void create(String kind, String name, String spec) throws Exception {
    ObjectNode object = object(name, spec);
    callStore("POST", kind, object.toString());
  }

  private synchronized void replaceConfig(String... oncePaths) throws Exception {
    configVersion++;
    String path = CONFIG_KIND + "/" + CONFIG_NAME;
    JsonNode current = JSON.readTree(callStore("GET", path, ""));
    ObjectNode object = object(CONFIG_NAME, config(oncePaths));
    object.withObject("/metadata").set("rev", current.path("metadata").path("rev"));
    callStore("PUT", path, object.toString());
  }

  private static ObjectNode object(String name, String spec) throws IOException {
    ObjectNode object = JSON.createObjectNode();
    object.putObject("metadata").put("name", name);
    object.set("spec", JSON.readTree(spec));
    return object;
  }

  private String callStore(String method, String path, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + storePort + "/api/objects/" + path))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Content-Type", "application/json")
            .build();
    HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
    if (answer.statusCode() != OK) {
      throw new IOException("the object API answers " + answer.statusCode() + " " + answer.body());
    }
    return answer.body();
  }

  private void injectFaults(int seconds) throws Exception {
    long endMs = System.currentTimeMillis() + seconds * 1_000L;
    while (System.currentTimeMillis() < endMs) {
      Thread.sleep(random.nextInt(MAX_FAULT_GAP_MS));
      NodeProcess node = nodes.get(random.nextInt(nodes.size()));
      FaultProxy proxy = proxies.get(random.nextInt(proxies.size()));
      FaultProxy.Mode[] modes = FaultProxy.Mode.values();
      FaultProxy.Mode mode = modes[1 + random.nextInt(modes.length - 1)];
      int forMs = random.nextInt(MAX_FAULT_MS);
      switch (random.nextInt(6)) {
        case 0 -> startFault(node, () -> node.restart(false));
        case 1 -> startFault(node, () -> node.restart(true));
        case 2 -> startFault(node, () -> node.pause(forMs));
        case 3 -> replaceConfig(RehearsalPlatform.ONCE_PATH);
        default -> startFault(proxy, () -> injectFault(proxy, mode, forMs));
      }
      if (restores.nextInt(GAPS_PER_RESTORE) == 0) {
        startFault(storeProxy, () -> restoreStore(forMs));
      }
      recordExitedNodes();
    }
    for (Thread fault : faults) {
      fault.join();
    }
  }

  /** Loses what is written to the store for a while; the operator then writes its part again. */
  private void restoreStore(int forMs) throws Exception {
    objectApi.takeCopy();
    Thread.sleep(forMs);
    synchronized (this) {
      storeProxy.set(FaultProxy.Mode.RESET);
      objectApi.restoreCopy();
      Thread.sleep(STORE_RESTORE_MS);
      storeProxy.set(FaultProxy.Mode.PASS);
      Thread.sleep(STORE_RESTORE_MS);
      replaceConfig(RehearsalPlatform.ONCE_PATH);
    }
  }

  private static void injectFault(FaultProxy proxy, FaultProxy.Mode mode, int forMs)
      throws InterruptedException {
    proxy.set(mode);
    Thread.sleep(forMs);
    proxy.set(FaultProxy.Mode.PASS);
  }

  private interface Fault {
    void run() throws Exception;
  }

  /** Runs a fault on its own thread; the faults of one target are serialized. */
  private void startFault(Object target, Fault fault) {
    Thread thread =
        new Thread(
            () -> {
              synchronized (target) {
                try {
                  fault.run();
                } catch (Exception e) {
                  recorder.addViolation("SOAK", "a fault could not be injected: " + e);
                }
              }
            },
            "fault");
    thread.start();
    faults.add(thread);
  }

  private void recordExitedNodes() {
    nodes.stream()
        .filter(NodeProcess::hasExitedUnexpectedly)
        .forEach(n -> recorder.addViolation("EXITED", n.name() + " exited unexpectedly"));
  }

  private void awaitServing(long timeoutMs) throws InterruptedException {
    SoakCallers probe = SoakCallers.start(nodes, proxies, new SoakRecorder(), 0, 0);
    for (NodeProcess node : nodes) {
      if (!await(timeoutMs, () -> probe.call(http, node, false) == OK)) {
        recorder.addViolation("NOT_RECOVERED", node.name() + " does not serve requests");
      }
    }
  }

  /** Checks that requests are served without faults and that all nodes load a new route. */
  private void checkRecovered(SoakCallers callers) throws Exception {
    for (int i = 0; i < RECOVERY_CALLS; i++) {
      NodeProcess node = nodes.get(i % nodes.size());
      int status = callers.call(http, node, false);
      if (status == 0 || status == 404 || status == 401) {
        recorder.addViolation(
            "NOT_RECOVERED", node.name() + " answers " + status + " after recovery");
      }
    }
    replaceConfig(RehearsalPlatform.ONCE_PATH, LATE_PATH);
    for (NodeProcess node : nodes) {
      if (!await(MAX_CONFIG_MS, () -> callers.call(http, node, LATE_PATH) != 404)) {
        recorder.addViolation(
            "CONFIG_LATE",
            node.name() + " does not serve a new route after " + MAX_CONFIG_MS + " ms");
      }
    }
    recordExitedNodes();
  }

  private interface Condition {
    boolean isTrue();
  }

  private static boolean await(long timeoutMs, Condition condition) throws InterruptedException {
    long endMs = System.currentTimeMillis() + timeoutMs;
    while (!condition.isTrue()) {
      if (System.currentTimeMillis() > endMs) {
        return false;
      }
      Thread.sleep(POLL_MS);
    }
    return true;
  }

  @Override
  public void close() throws Exception {
    for (NodeProcess node : nodes) {
      node.close();
    }
    for (FaultProxy proxy : proxies) {
      proxy.close();
    }
    server.close();
  }
}
