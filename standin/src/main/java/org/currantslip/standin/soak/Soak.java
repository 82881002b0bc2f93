package org.currantslip.standin.soak;

import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.currantslip.platform.RehearsalConfig;
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

  /** Least share of the requests that is served; the gate of the sites. */
  private static final double MIN_SERVED_SHARE = 0.4;

  private static final int ADDED_ENDPOINTS = 6;
  private static final int MIN_DOWN_MS = 1_500;
  private static final int MAX_DOWN_MS = 2_000;
  private static final int ADDED_CALLERS = 32;
  private static final int MIN_PAUSE_MS = 600;
  private static final int MAX_PAUSE_MS = 2_000;
  private static final int MIN_PAUSE_GAP_MS = 500;
  private static final int MAX_SERIES = 4;
  private static final int MAX_SERIES_GAP_MS = 200;
  private static final int MAX_CHANGE_MS = 1_000;
  private static final int MIN_IDLE_TIMEOUT_MS = 1_000;
  private static final List<String> SPARE_PATHS = List.of(SoakCallers.SPARE_PATH);
  private static final SoakOptions PROBE = new SoakOptions(0, 0, true, false, false, false);

  /** Factors that give each added kind of fault its own generator. */
  private static final long PAUSE_FACTOR = 31;

  private static final long CHANGE_FACTOR = 37;
  private static final long RESTART_FACTOR = 41;
  private static final String ENDPOINT_KIND = "servers";
  private static final String CONFIG_KIND = "config";
  private static final String CONFIG_NAME = "main";
  private static final String LATE_PATH = "/late/";

  private final Random random;

  /** A generator of its own keeps the other faults of a seed as they are. */
  private final Random restores;

  private final Random pauses;
  private final Random changes;
  private final Random restarts;
  private final SoakOptions options;
  private final SoakRecorder recorder = new SoakRecorder();
  private final StandinServer server = StandinServer.start();
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<FaultProxy> proxies = new ArrayList<>();
  private final List<SoakEndpoint> endpoints = new ArrayList<>();

  /** Current id of each endpoint. */
  private final List<String> names = new CopyOnWriteArrayList<>();

  private final List<Thread> faults = new CopyOnWriteArrayList<>();
  private final ObjectApi objectApi;
  private final SoakStore store;
  private final FaultProxy storeProxy;
  private final SoakFleet fleet;
  private long configVersion = 1;
  private long timeoutMs = RehearsalPlatform.TIMEOUT_MS;
  private long idleTimeoutMs;
  private boolean spareRoute;
  private boolean spareKey;

  private Soak(long seed, SoakOptions options, Path jar, Path dir) throws Exception {
    this.options = options;
    random = new Random(seed);
    restores = new Random(~seed);
    pauses = new Random(seed * PAUSE_FACTOR);
    changes = new Random(seed * CHANGE_FACTOR);
    restarts = new Random(seed * RESTART_FACTOR);
    objectApi = ObjectApi.create(server.delays(), 0, 0);
    int storePort = server.add("127.0.0.1", 0, objectApi, seed);
    store = SoakStore.at(http, storePort);
    int endpointCount = options.isExtended() ? ADDED_ENDPOINTS : ENDPOINTS;
    for (int i = 0; i < endpointCount; i++) {
      SoakEndpoint endpoint =
          SoakEndpoint.create(
              String.valueOf(i), recorder, server.delays(), seed + i, new EndpointHost(i));
      endpoints.add(endpoint);
      proxies.add(FaultProxy.to(server.add("127.0.0.1", 0, endpoint, seed)));
      names.add("i-" + i);
      register(i);
    }
    store.create(CONFIG_KIND, CONFIG_NAME, config(RehearsalPlatform.ONCE_PATH));
    Files.createDirectories(dir);
    // All nodes share one proxy: with different store addresses they do not accept each other.
    storeProxy = FaultProxy.to(storePort);
    proxies.add(storeProxy);
    fleet = new SoakFleet(nodes, List.copyOf(proxies.subList(0, endpointCount)), storeProxy);
    for (int i = 0; i < options.nodes(); i++) {
      nodes.add(NodeProcess.start("node-" + i, jar, dir, storeProxy.port()));
    }
  }

  /** Runs one seed and returns the violated guarantees. */
  static List<String> runSeed(long seed, SoakOptions options, Path jar, Path dir) throws Exception {
    try (Soak soak = new Soak(seed, options, jar, dir)) {
      soak.awaitServing(MAX_RECOVERY_MS + MAX_RECOVERY_MS);
      SoakCallers callers =
          SoakCallers.start(
              soak.fleet,
              soak.recorder,
              options,
              options.isExtended() ? ADDED_CALLERS : CALLERS,
              seed);
      soak.injectFaults(options.seconds());
      soak.awaitServing(MAX_RECOVERY_MS);
      soak.checkRecovered(callers);
      callers.stop();
      System.out.println("seed " + seed + " " + soak.recorder.outcomes());
      soak.recorder.crashes().summary().forEach(c -> System.out.println("seed " + seed + " " + c));
      return soak.recorder.allViolations(RehearsalPlatform.ONCE_PATH);
    }
  }

  private String config(String... oncePaths) {
    if (!options.isExtended()) {
      return RehearsalPlatform.config(configVersion, List.of(oncePaths));
    }
    return new RehearsalConfig(
            configVersion,
            timeoutMs,
            idleTimeoutMs,
            Stream.concat(Stream.of(oncePaths), spareRoute ? SPARE_PATHS.stream() : Stream.of())
                .toList(),
            true,
            spareKey
                ? List.of(RehearsalPlatform.API_KEY, SoakCallers.SPARE_KEY)
                : List.of(RehearsalPlatform.API_KEY))
        .json();
  }

  private synchronized void replaceConfig(String... oncePaths) throws Exception {
    configVersion++;
    store.replace(CONFIG_KIND, CONFIG_NAME, config(oncePaths));
  }

  private void register(int index) throws Exception {
    String entry = RehearsalPlatform.endpointEntry(proxies.get(index).port());
    store.create(ENDPOINT_KIND, names.get(index), entry);
  }

  /** An endpoint that comes back under a new id after each crash. */
  private final class EndpointHost implements SoakEndpoint.Host {
    private final int index;
    private int boot;

    EndpointHost(int index) {
      this.index = index;
    }

    @Override
    public void onCrashOrder(CrashOrder order, String id) {
      long nowMs = System.currentTimeMillis();
      long fromMs = nowMs - CrashLog.CONTACT_MS;
      if (fleet.nodeOf(id).stream().allMatch(n -> fleet.isInTouchSince(n, fromMs))) {
        recorder.crashes().addSend(order.mark(), nowMs);
      }
    }

    @Override
    public void crash(CrashOrder order) {
      FaultProxy proxy = proxies.get(index);
      if (proxy.isDown()) {
        return;
      }
      recorder.crashes().addCrash(order.mark(), System.currentTimeMillis());
      proxy.goDown();
      int downMs = MIN_DOWN_MS + restarts.nextInt(MAX_DOWN_MS - MIN_DOWN_MS);
      startFault(this, () -> comeBack(downMs));
    }

    private void comeBack(int downMs) throws Exception {
      Thread.sleep(downMs);
      String old = names.get(index);
      names.set(index, "i-%d-%d".formatted(index, ++boot));
      proxies.get(index).comeBack();
      store.delete(ENDPOINT_KIND, old);
      register(index);
    }
  }

  private void injectFaults(int seconds) throws Exception {
    long endMs = System.currentTimeMillis() + seconds * 1_000L;
    if (options.pauses()) {
      startFault(pauses, () -> pauseEndpoints(endMs));
    }
    if (options.changes()) {
      startFault(changes, () -> makeChanges(endMs));
    }
    if (options.calm()) {
      Thread.sleep(seconds * 1_000L);
    }
    while (!options.calm() && System.currentTimeMillis() < endMs) {
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
    for (Thread fault : List.copyOf(faults)) {
      fault.join();
    }
  }

  /** Lets one endpoint or all of them fall silent and go on. */
  private void pauseEndpoints(long endMs) throws InterruptedException {
    while (System.currentTimeMillis() < endMs) {
      Thread.sleep(MIN_PAUSE_GAP_MS + pauses.nextInt(MAX_FAULT_GAP_MS));
      int forMs = MIN_PAUSE_MS + pauses.nextInt(MAX_PAUSE_MS - MIN_PAUSE_MS);
      int drawn = pauses.nextInt(endpoints.size());
      (pauses.nextBoolean() ? endpoints : endpoints.subList(drawn, drawn + 1))
          .forEach(e -> e.pause(forMs));
      Thread.sleep(forMs);
    }
  }

  /** Changes the configuration, reloads settings and stops nodes, in series that overlap. */
  private void makeChanges(long endMs) throws Exception {
    while (System.currentTimeMillis() < endMs) {
      Thread.sleep(changes.nextInt(MAX_FAULT_GAP_MS));
      int count = 1 + changes.nextInt(MAX_SERIES);
      NodeProcess node = nodes.get(changes.nextInt(nodes.size()));
      switch (changes.nextInt(4)) {
        case 0 -> startFault(node, () -> node.restart(true));
        case 1 -> {
          for (int i = 0; i < count; i++) {
            nodes.get(changes.nextInt(nodes.size())).reload();
            Thread.sleep(changes.nextInt(MAX_SERIES_GAP_MS));
          }
        }
        default -> {
          for (int i = 0; i < count; i++) {
            changeConfig();
            Thread.sleep(changes.nextInt(MAX_SERIES_GAP_MS));
          }
        }
      }
    }
  }

  private synchronized void changeConfig() throws Exception {
    timeoutMs = SoakCallers.MIN_TIMEOUT_MS + changes.nextInt(MAX_CHANGE_MS);
    idleTimeoutMs = MIN_IDLE_TIMEOUT_MS + changes.nextInt(MAX_CHANGE_MS);
    spareRoute = changes.nextBoolean();
    spareKey = changes.nextBoolean();
    replaceConfig(RehearsalPlatform.ONCE_PATH);
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
      for (int i = 0; i < names.size(); i++) {
        register(i);
      }
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
    SoakCallers probe = SoakCallers.start(fleet, new SoakRecorder(), PROBE, 0, 0);
    for (NodeProcess node : nodes) {
      if (!await(timeoutMs, () -> probe.call(http, node, RehearsalPlatform.ONCE_PATH) == OK)) {
        recorder.addViolation("NOT_RECOVERED", node.name() + " does not serve requests");
      }
    }
  }

  /** Checks that requests are served without faults and that all nodes load a new route. */
  private void checkRecovered(SoakCallers callers) throws Exception {
    int served = 0;
    for (int i = 0; i < RECOVERY_CALLS; i++) {
      NodeProcess node = nodes.get(i % nodes.size());
      int status = callers.call(http, node, RehearsalPlatform.ONCE_PATH);
      served += status == OK ? 1 : 0;
      if (status == 0 || status == 404 || status == 401) {
        recorder.addViolation(
            "NOT_RECOVERED", node.name() + " answers " + status + " after recovery");
      }
    }
    if (served < MIN_SERVED_SHARE * RECOVERY_CALLS) {
      recorder.addViolation(
          "NOT_SERVED", served + " of " + RECOVERY_CALLS + " requests were served after recovery");
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
