package org.currantslip.standin.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
      grace_s = 8
      [log]
      format = "json"
      level = "debug"
      """;

  private static final int PORT_COUNT = 5;
  private static final long GRACE_MS = 8_000;

  private final String name;
  private final Path jar;
  private final Path dir;
  private final int storePort;
  private final List<Integer> ports;
  private Process process;
  private volatile long lastDisturbedMs;
  private volatile boolean stopping;

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
    Path settings = dir.resolve(name + ".toml");
    Files.writeString(
        settings,
        SETTINGS.formatted(
            name, ports.get(0), ports.get(1), ports.get(2), ports.get(3), ports.get(4), storePort));
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
    lastDisturbedMs = System.currentTimeMillis();
    return builder.start();
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
    }
    process.destroyForcibly();
    process.waitFor();
    process = launch();
    stopping = false;
  }

  /** Suspends the process with SIGSTOP for a while. */
  void pause(long forMs) throws IOException, InterruptedException {
    lastDisturbedMs = Long.MAX_VALUE;
    signal("STOP");
    Thread.sleep(forMs);
    signal("CONT");
    lastDisturbedMs = System.currentTimeMillis();
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
