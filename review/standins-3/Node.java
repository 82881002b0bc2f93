import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A machine of the system: a process started with the command of the deploy file. */
final class Node {
  final String name;
  final String ip;
  final int front;
  final int ready;
  private final Path settings;
  private final Path log;
  private Process process;

  Node(Path folder, String name, String ip, int front, int ready, int directory, int peer, String store)
      throws IOException {
    this.name = name;
    this.ip = ip;
    this.front = front;
    this.ready = ready;
    settings = folder.resolve(name + ".toml");
    log = folder.resolve(name + ".log");
    Files.writeString(
        settings,
        """
        name = "%s"
        region = "region-1"
        failure_domain = "zone-a"
        host = "%s"

        [listen]
        caller = "%s:%d"
        readiness = "%s:%d"
        directory = "%s:%d"
        peer_port = %d
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
        cpu_share = 0.75
        cores = 1
        memory_mb = 430
        max_descriptors = 4100
        link_mbps = 1000.0

        [warm_up]
        max_s = 13

        [allowance]

        [evacuation]

        [bounds]
        contact_ms = 3000

        [[domain]]
        name = "zone-a"
        region = "region-1"

        [log]
        format = "json"
        level = "debug"
        """
            .formatted(name, ip, ip, front, ip, ready, ip, directory, peer, store),
        StandardCharsets.UTF_8);
  }

  /** Starts the process from the repository's root. */
  void start() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    String run = deploy.lines().filter(l -> l.startsWith("run = ")).findFirst().orElseThrow();
    List<String> command = List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("CURRANTSLIP_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
    process = builder.start();
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  List<String> logLines() throws IOException {
    return Files.readAllLines(log);
  }

  void kill() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
