import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** A small deployment on loopback: store, runners, nodes, and the record of a case. */
final class World implements AutoCloseable {
  static final String HOST = "shop.example";
  static final String KEY = "key-of-tenant-1";
  static final String SERVICE = "ledger-app";
  private static final int METRICS_PORT = 9464;
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final Store store = Store.start();
  final List<Node> nodes = new ArrayList<>();
  final List<Runner> runners = new ArrayList<>();
  final Path dir = Files.createTempDirectory("currantslip-review-");
  private final PrintWriter record;
  private final long startMs = System.currentTimeMillis();
  private final AtomicLong lastId = new AtomicLong();

  World(Path recordFile) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    note("trouble=" + TROUBLE);
  }

  synchronized void note(String line) {
    String text = String.format("%7.3f %s", (System.currentTimeMillis() - startMs) / 1000.0, line);
    record.println(text);
    record.flush();
    System.out.println(text);
  }

  static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMs, int attempts) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("path_prefix", prefix);
    route.put("kind", kind);
    route.put("timeout_ms", num(timeoutMs));
    route.put("objective_ms", num(386));
    route.put("priority", num(2));
    route.put("service", service);
    route.put("attempts", num(attempts));
    route.put("anonymous", false);
    return route;
  }

  static Json.Num num(long value) {
    return new Json.Num(String.valueOf(value));
  }

  void configure(long version, List<Object> routes, List<String> services) {
    Map<String, Object> config = new LinkedHashMap<>();
    config.put("version", num(version));
    config.put("routes", routes);
    List<Object> terms = new ArrayList<>();
    for (String service : services) {
      Map<String, Object> term = new LinkedHashMap<>();
      term.put("name", service);
      term.put("health_path", "/health");
      term.put("max_conns", num(96));
      term.put("protocol", "h1");
      term.put("tls", false);
      terms.add(term);
    }
    config.put("services", terms);
    Map<String, Object> limits = new LinkedHashMap<>();
    limits.put("header_bytes", num(16384));
    limits.put("max_body_bytes", num(4194304));
    limits.put("header_timeout_ms", num(3000));
    limits.put("idle_timeout_ms", num(15000));
    config.put("limits", limits);
    Map<String, Object> tenant = new LinkedHashMap<>();
    tenant.put("name", "tenant-1");
    tenant.put("api_keys", List.of(KEY));
    tenant.put("priority", num(1));
    config.put("tenants", List.of(tenant));
    store.put("config", "main", config);
    note("operator: config version " + version);
  }

  Runner addRunner(String id, String zone, String service, int slots, Runner.Work work) throws IOException {
    Runner runner = Runner.start(id, zone, work);
    runners.add(runner);
    store.put("servers", id, runner.entry(service, "ready", slots));
    note("runner " + id + " of " + service + " in " + zone + " is registered");
    return runner;
  }

  Node addNode(int number, String zone) throws IOException {
    Node node = Node.create("edge-" + number, freeHost(), zone, store.port(), dir);
    nodes.add(node);
    node.start();
    return node;
  }

  /** Returns a loopback address on which the port of the metrics, the only fixed one, is free. */
  private static String freeHost() throws IOException {
    for (int i = 0; i < 100; i++) {
      ThreadLocalRandom random = ThreadLocalRandom.current();
      String host = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + "." + random.nextInt(2, 250);
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(host, METRICS_PORT));
        return host;
      } catch (BindException e) {
        // Taken: another address.
      }
    }
    throw new IOException("no loopback address is free");
  }

  void awaitReady() throws IOException, InterruptedException {
    for (Node node : nodes) {
      node.awaitReady(40_000);
      note(node.name + " is ready");
    }
  }

  String nextId() {
    return String.format("%016x", 0x5000000000000000L + lastId.incrementAndGet());
  }

  static String head(String method, String path, String id, long deadlineMs, String extra) {
    return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Currantslip-Request-Id: " + id
        + "\r\nX-Currantslip-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Bearer " + KEY + "\r\n" + extra + "\r\n";
  }

  /** A body of a case; returns whether the rule was broken. */
  interface Body {
    boolean run(World world) throws Exception;
  }

  /** Runs a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  static void run(String[] args, Body body) {
    int status = 2;
    try (World world = new World(Path.of(args[0]))) {
      try {
        boolean broken = body.run(world);
        world.note(broken ? "RESULT the rule was broken" : "RESULT the rule held");
        status = broken ? 1 : 0;
      } catch (Exception e) {
        world.note("RESULT the case couldn't run: " + e);
      }
    } catch (IOException e) {
      System.err.println(e);
    }
    System.exit(status);
  }

  @Override
  public void close() {
    for (Node node : nodes) {
      try {
        node.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") != null) {
      return;
    }
    try (Stream<Path> files = Files.list(dir)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
      Files.deleteIfExists(dir);
    } catch (IOException e) {
      // Removed before.
    }
  }
}
