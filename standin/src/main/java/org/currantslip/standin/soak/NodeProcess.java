package org.currantslip.standin.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.currantslip.adapter.http.FreePorts;

/** An edge node in a separate process that is restarted after each stop. */
final class NodeProcess {
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
      address = "127.0.0.1:%d"
      [stop]
      grace_s = %d
      [log]
      format = "json"
      level = "debug"
      """;

  private static final int PORT_COUNT = 5;
  private static final long GRACE_MS = 8_000;
  private static final int[] GRACE_S = {8, 7};

  /** Time after the launch until the process handles signals. */
  private static final long LAUNCH_MS = 5_000;

  private final String name;
  private final Path jar;
  private final Path dir;
  private final int storePort;
  private final List<Integer> ports;
  private volatile Process process;
  private volatile long launchedMs;
  private volatile long lastDisturbedMs;

  /** Time of the last fault other than a planned stop or start. */
  private volatile long lastUnplannedMs;

  private volatile boolean stopping;
  private volatile int graceIndex;

  private NodeProcess(String name, Path jar, Path dir, int storePort) throws IOException {
    this.name = name;
    this.jar = jar;
    this.dir = dir;
    this.storePort = storePort;
    ports = FreePorts.find(PORT_COUNT);
    process = launch();
  }

  static NodeProcess start(String name, Path jar, Path dir, int storePort) throws IOException {
    return new NodeProcess(name, jar, dir, storePort);
  }

  private Process launch() throws IOException {
    Path settings = writeSettings();
    ProcessBuilder builder =
        new ProcessBuilder(
            "java",
            "-Xmx160m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-jar",
            jar.toString(),
            "--edge-settings-from",
            "SOAK_SETTINGS");
    builder.environment().put("SOAK_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(dir.resolve(name + ".log").toFile()));
    launchedMs = System.currentTimeMillis();
    lastDisturbedMs = launchedMs;
    return builder.start();
  }

  private Path writeSettings() throws IOException {
    synchronized (ports) {
      Path settings = dir.resolve(name + ".toml");
      Path written = dir.resolve(name + ".new");
      Files.writeString(
          written,
          SETTINGS.formatted(
              name,
              ports.get(0),
              ports.get(1),
              ports.get(2),
              ports.get(3),
              ports.get(4),
              storePort,
              GRACE_S[graceIndex]));
      return Files.move(written, settings, StandardCopyOption.ATOMIC_MOVE);
    }
  }

  String name() {
    return name;
  }

  String callerAddress() {
    return "http://127.0.0.1:" + ports.get(0);
  }

  /** Returns whether no fault was injected into the process since a time. */
  boolean isUndisturbedSince(long atMs) {
    return !stopping && lastDisturbedMs <= atMs;
  }

  /** Returns whether planned stops and starts were the only faults since a time. */
  boolean isPlannedOnlySince(long atMs) {
    return lastUnplannedMs <= atMs;
  }

  /** Returns whether the process exited without being stopped. */
  boolean hasExitedUnexpectedly() {
    return !stopping && !process.isAlive();
  }

  /** Stops the process, with SIGTERM first if graceful, and starts it again. */
  void restart(boolean graceful) throws IOException, InterruptedException {
    stopping = true;
    if (graceful) {
      process.destroy();
      process.waitFor(GRACE_MS, TimeUnit.MILLISECONDS);
    } else {
      lastUnplannedMs = System.currentTimeMillis();
    }
    process.destroyForcibly();
    process.waitFor();
    process = launch();
    stopping = false;
  }

  /** Suspends the process with SIGSTOP for a while. */
  void pause(long forMs) throws IOException, InterruptedException {
    lastDisturbedMs = Long.MAX_VALUE;
    lastUnplannedMs = Long.MAX_VALUE;
    signal("STOP");
    Thread.sleep(forMs);
    signal("CONT");
    lastDisturbedMs = System.currentTimeMillis();
    lastUnplannedMs = lastDisturbedMs;
  }

  /** Changes the settings file and sends SIGHUP, also while the process stops. */
  void reload() throws IOException, InterruptedException {
    if (process.isAlive() && launchedMs + LAUNCH_MS < System.currentTimeMillis()) {
      graceIndex = 1 - graceIndex;
      writeSettings();
      signal("HUP");
    }
  }

  private void signal(String signalName) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signalName, String.valueOf(process.pid())).start().waitFor();
  }

  void close() throws InterruptedException {
    stopping = true;
    process.destroyForcibly();
    process.waitFor();
  }
}
