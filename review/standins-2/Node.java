package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
public final class Node {
  private final Record record;
  private final Path folder;
  private final Path settings;
  private final String name;
  public final int front = freePort();
  public final int ready = freePort();
  public final int directory = freePort();
  private final int peer = freePort();
  private final int metrics = freePort();
  private Process process;

  public Node(Record record, Path folder, String name, String zone, String store, double cpuShare)
      throws IOException {
    this.record = record;
    this.folder = folder;
    this.name = name;
    settings = folder.resolve(name + ".toml");
    Files.writeString(
        settings,
        """
        name = "%s"
        region = "region-a"
        failure_domain = "%s"
        host = "127.0.0.1"
        [listen]
        caller = "127.0.0.1:%d"
        readiness = "127.0.0.1:%d"
        directory = "127.0.0.1:%d"
        peer_port = %d
        metrics_port = %d
        directory_ttl_s = 5
        [store]
        address = "%s"
        value_bytes = 1048576
        endpoint_report_ms = 1200
        [stop]
        grace_s = 8
        [retry]
        ratio = 0.9
        window_s = 10
        slack = 52
        [rollout]
        exposure_share = 0.15
        [limits]
        cpu_share = %s
        cores = 1
        memory_mb = 430
        max_descriptors = 4100
        link_mbps = 1000.0
        [warm_up]
        max_s = 13
        [bounds]
        contact_ms = 3000
        [[domain]]
        name = "zone-a"
        region = "region-a"
        [[domain]]
        name = "zone-b"
        region = "region-a"
        [[domain]]
        name = "zone-c"
        region = "region-a"
        [[domain]]
        name = "zone-d"
        region = "region-a"
        [log]
        format = "json"
        level = "debug"
        """
            .formatted(name, zone, front, ready, directory, peer, metrics, store, cpuShare));
  }

  /** Starts the process, without waiting until it is ready. */
  public void start() throws IOException {
    Path root = Path.of("").toAbsolutePath();
    String run =
        Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    List<String> command =
        new ArrayList<>(
            List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("CURRANTSLIP_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    Process started = builder.start();
    process = started;
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    record.line("start", name, "pid=" + process.pid());
    process
        .onExit()
        .thenAccept(p -> record.line("exit", name, "pid=" + p.pid() + " status=" + p.exitValue()));
  }

  public boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), ready), 500);
      socket.setSoTimeout(1_000);
      socket
          .getOutputStream()
          .write(
              "GET /api/readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.ISO_8859_1));
      Http.Head head = Http.readHead(socket.getInputStream());
      return head != null && head.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  public boolean awaitReady(long ms) throws InterruptedException {
    long endNs = System.nanoTime() + ms * 1_000_000;
    while (System.nanoTime() < endNs) {
      if (isReady()) {
        record.line("ready", name, "");
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  public void signal(String signal) throws IOException, InterruptedException {
    record.line("signal", name, signal);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  public String name() {
    return name;
  }

  public Path log() {
    return folder.resolve(name + ".log");
  }

  public void end() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  public static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
