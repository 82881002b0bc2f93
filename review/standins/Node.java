import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One process of the system, started with the command and the template of deploy/system.toml as the
 * platform starts it: settings of a small deployment, on an address of the loopback network.
 */
final class Node {
  final String name;
  final String host;
  final int front;
  final int ready;
  final int directory;
  private final Path settings;
  private final Path log;
  private final String zone;
  private final int storePort;
  private final int peerPort;
  private Process process;

  private Node(String name, String host, String zone, int storePort, Path dir) throws IOException {
    this.name = name;
    this.host = host;
    this.zone = zone;
    this.storePort = storePort;
    List<Integer> ports = freePorts(host, 4);
    front = ports.get(0);
    ready = ports.get(1);
    directory = ports.get(2);
    peerPort = ports.get(3);
    settings = dir.resolve(name + ".toml");
    log = dir.resolve(name + ".out");
  }

  static Node create(String name, String host, String zone, int storePort, Path dir) throws IOException {
    return new Node(name, host, zone, storePort, dir);
  }

  static List<Integer> freePorts(String host, int count) throws IOException {
    List<ServerSocket> open = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket();
      socket.bind(new InetSocketAddress(host, 0));
      open.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : open) {
      socket.close();
    }
    return ports;
  }

  void start() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Files.writeString(settings, fill(Files.readString(Path.of(text(deploy, "template")))));
    List<String> command = List.of(text(deploy, "run").split(" +"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().keySet().removeIf(k -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(k));
    builder.environment().put("CURRANTSLIP_SETTINGS", settings.toAbsolutePath().toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  private static String text(String toml, String key) {
    Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(toml);
    if (!matcher.find()) {
      throw new IllegalStateException("deploy/system.toml has no " + key);
    }
    return matcher.group(1);
  }

  /** The fields of DEPLOY.md, with the figures of the sheets of the small deployments. */
  private Map<String, String> fields() {
    Map<String, String> fields = new TreeMap<>();
    fields.put("node_name", name);
    fields.put("region", "local");
    fields.put("zone", zone);
    fields.put("ip", host);
    fields.put("listen.front", host + ":" + front);
    fields.put("listen.ready_addr", host + ":" + ready);
    fields.put("listen.directory", host + ":" + directory);
    fields.put("port_range.0", String.valueOf(peerPort));
    fields.put("bounds.ttl_max_s", "5");
    fields.put("bounds.grace_s", "8");
    fields.put("bounds.retry_ratio", "0.9");
    fields.put("bounds.retry_window_s", "10");
    fields.put("bounds.retry_slack", "52");
    fields.put("bounds.exposure_share", "0.15");
    fields.put("bounds.contact_ms", "3000");
    fields.put("provider.address", "127.0.0.1:" + storePort);
    fields.put("provider.value_bytes", "1048576");
    fields.put("beat_interval_ms", "1200");
    fields.put("limits.cpu_share", "0.75");
    fields.put("limits.cores", "1");
    fields.put("limits.memory_mb", "430");
    fields.put("limits.max_fds", "4100");
    fields.put("limits.link_mbps", "1000.0");
    return fields;
  }

  private String fill(String template) {
    String text = template;
    Matcher zones = Pattern.compile("(?s)\\{\\{#zones}}(.*?)\\{\\{/zones}}").matcher(text);
    if (zones.find()) {
      StringBuilder all = new StringBuilder();
      for (String z : List.of("z-a", "z-b", "z-c", "z-d")) {
        all.append(zones.group(1).replace("{{@}}", z).replace("{{.}}", "local"));
      }
      text = text.substring(0, zones.start()) + all + text.substring(zones.end());
    }
    Map<String, String> fields = fields();
    Matcher sections = Pattern.compile("(?s)\\{\\{#([a-z_.0-9]+)}}(.*?)\\{\\{/\\1}}").matcher(text);
    text =
        sections.replaceAll(
            m -> {
              String value = fields.get(m.group(1));
              return value == null ? "" : Matcher.quoteReplacement(m.group(2).replace("{{.}}", value));
            });
    return Pattern.compile("\\{\\{([a-z_.0-9]+)}}")
        .matcher(text)
        .replaceAll(m -> Matcher.quoteReplacement(fields.getOrDefault(m.group(1), "")));
  }

  Process process() {
    return process;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }

  File logFile() {
    return log.toFile();
  }

  /** Asks for readiness as the platform does; returns the status, or -1 without an answer in time. */
  int readiness(int timeoutMs) {
    return Client.get(host, ready, "/api/readiness", timeoutMs).status();
  }

  void awaitReady(long timeoutMs) throws InterruptedException, IOException {
    long endMs = System.currentTimeMillis() + timeoutMs;
    while (readiness(500) != 200) {
      if (!process.isAlive() || System.currentTimeMillis() > endMs) {
        throw new IOException(name + " isn't ready");
      }
      Thread.sleep(100);
    }
  }

  long residentKb() {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", ""));
        }
      }
    } catch (IOException e) {
      return -1;
    }
    return -1;
  }
}
