import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** A new version turns bad under load while its rollout ends on a slow store. */
public final class HaltAfterComplete {
  private static final int NODES = 6;
  private static final long RUN_MS = 98_000;
  private static final long DURATION_S = 16;
  private static final long SLOW_FROM_MS = 13_500;
  private static final long SLOW_FOR_MS = 4_500;
  private static final long SLOW_X = 60;
  private static final long STORE_MS = 4;

  /** Part of a bad version's requests that fail while it has most of the load. */
  private static final double BAD_SHARE = 0.5;

  private static final String HOST = "app.example";
  private static final String KEY = "key0123456789abcdef";

  private static final class Kind {
    final String name;
    final String method;
    final String path;
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final Map<Integer, AtomicInteger> lateStatus = new ConcurrentHashMap<>();

    Kind(String name, String method, String path) {
      this.name = name;
      this.method = method;
      this.path = path;
    }
  }

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record;
  private final Store store;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Runner> runners = Collections.synchronizedList(new ArrayList<>());
  private final ArrayDeque<Long> newArrivals = new ArrayDeque<>();
  private final ArrayDeque<Long> allArrivals = new ArrayDeque<>();
  private final Map<String, String> ranAt = new ConcurrentHashMap<>();
  private final AtomicLong ids = new AtomicLong();
  private String host = "127.0.0.1";
  private volatile String finalState = "";
  private volatile long finalMs;
  private volatile boolean over;

  private HaltAfterComplete(Record record, Store store) {
    this.record = record;
    this.store = store;
  }

  public static void main(String[] args) throws Exception {
    Record record = new Record(Path.of(args[0]));
    Path folder = Files.createTempDirectory("case");
    int code = 2;
    HaltAfterComplete run = null;
    String[] hosts = Ports.hosts(NODES + 1);
    try (Ports ports = new Ports(hosts)) {
      int storePort = ports.next();
      int front = ports.next();
      int ready = ports.next();
      int directory = ports.next();
      int peer = ports.next();
      List<Integer> free = new ArrayList<>();
      for (int i = 0; i < 16; i++) {
        free.add(ports.next());
      }
      ports.close();
      Store store = new Store(hosts[0], storePort, record);
      run = new HaltAfterComplete(record, store);
      for (int i = 0; i < NODES; i++) {
        run.nodes.add(
            new Node(folder, "edge-" + (i + 1), hosts[1 + i], front, ready, directory,
                peer, hosts[0] + ":" + storePort));
      }
      run.host = hosts[0];
      List<Node> started = run.nodes;
      Runtime.getRuntime().addShutdownHook(new Thread(() -> started.forEach(Node::kill)));
      code = run.play(free);
    } catch (Exception e) {
      record.say("could not run: %s", e);
    } finally {
      if (run != null) {
        run.nodes.forEach(Node::kill);
      }
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
      }
      record.close();
    }
    Runtime.getRuntime().halt(code);
  }

  private static Map<String, Object> map(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put(String.valueOf(pairs[i]), pairs[i + 1]);
    }
    return map;
  }

  private int play(List<Integer> free) throws Exception {
    store.put(
        "config",
        "main",
        map(
            "version", 3,
            "routes",
            List.of(
                map("name", "sign-off", "host", HOST, "path_prefix", "/sign/", "kind", "unsafe",
                    "service", "records", "attempts", 1, "timeout_ms", 2000, "objective_ms", 300,
                    "priority", 2),
                map("name", "lookup", "host", HOST, "path_prefix", "/look/", "kind", "safe",
                    "service", "catalog", "attempts", 2, "timeout_ms", 2000, "objective_ms", 300,
                    "priority", 2)),
            "services",
            List.of(
                map("name", "records", "health_path", "/health", "max_conns", 96),
                map("name", "catalog", "health_path", "/health", "max_conns", 96)),
            "limits",
            map("header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 5000,
                "idle_timeout_ms", 30000),
            "tenants", List.of(map("name", "crews", "api_keys", List.of(KEY)))));
    for (int i = 0; i < 4; i++) {
      runners.add(new Runner("i-old" + i, "records", "v1", host, free.get(i), 6, 25, store,
          this::verdict));
      runners.add(new Runner("i-cat" + i, "catalog", "v1", host, free.get(4 + i), 24, 5,
          store, this::catalog));
    }
    for (Node node : nodes) {
      node.start();
    }
    long giveUpMs = record.ms() + 14_000;
    for (Node node : nodes) {
      while (!isReady(node)) {
        if (record.ms() > giveUpMs || !node.isAlive()) {
          record.say("%s is not ready", node.name);
          return 2;
        }
        Thread.sleep(50);
      }
    }
    record.say("all nodes are ready, trouble=%b", trouble);
    store.statusListener = this::onStatus;
    Kind signOff = new Kind("sign-off", "POST", "/sign/");
    Kind lookup = new Kind("lookup", "GET", "/look/");
    for (Node node : nodes) {
      for (int i = 0; i < 3; i++) {
        client(node, signOff, 80);
      }
      for (int i = 0; i < 6; i++) {
        client(node, lookup, 65);
      }
    }
    Thread.sleep(1_000);
    final long orderMs = record.ms();
    for (int i = 0; i < 4; i++) {
      runners.add(new Runner("i-new" + i, "records", "v2", host, free.get(8 + i), 6, 25,
          store, this::verdict));
    }
    store.put("rollouts", "records",
        map("service", "records", "target", "v2", "duration_s", DURATION_S));
    record.say("the rollout of records to v2 is ordered");
    while (record.ms() < orderMs + RUN_MS) {
      Thread.sleep(20);
      long sinceMs = record.ms() - orderMs;
      boolean slow = trouble && sinceMs >= SLOW_FROM_MS && sinceMs < SLOW_FROM_MS + SLOW_FOR_MS;
      long answerMs = slow ? SLOW_X * STORE_MS : STORE_MS;
      if (answerMs != store.answerMs) {
        store.answerMs = answerMs;
        record.say("the store takes %d ms an answer", answerMs);
      }
    }
    over = true;
    Thread.sleep(300);
    for (Node node : nodes) {
      for (String line : node.logLines()) {
        if (line.contains("VERSION_STOPPED") || line.contains("ROLLOUT_STAGE")) {
          record.line("log of %s: %s", node.name, line);
        }
      }
    }
    return judge(signOff, lookup);
  }

  private int judge(Kind signOff, Kind lookup) {
    double all =
        (double) (signOff.served.get() + lookup.served.get())
            / (signOff.sent.get() + lookup.sent.get());
    double kind = (double) signOff.served.get() / signOff.sent.get();
    for (Kind k : List.of(signOff, lookup)) {
      record.say("%s: %d sent, %d served; answers later than 10 s after the rollout's end: %s",
          k.name, k.sent.get(), k.served.get(), k.lateStatus);
    }
    runners.forEach(r -> record.line("%s ran %d", r.id, r.runs.get()));
    record.say("rollout: %s; sign-off served %.3f, all requests %.3f", finalState, kind, all);
    boolean alive = nodes.stream().allMatch(Node::isAlive);
    if (finalState.isEmpty() || !alive) {
      record.say("no final state of the rollout, or a process ended (alive=%b)", alive);
      return 2;
    }
    boolean starved = kind < all / 4;
    record.say(starved ? "BROKEN: a kind of request is starved" : "held");
    return starved ? 1 : 0;
  }

  private boolean isReady(Node node) {
    try (Client c = new Client(node.ip, node.ready)) {
      return c.send("GET", "/api/readiness", "Host: x\r\nConnection: close\r\n", "", 500).status()
          == 200;
    }
  }

  /** The bad version fails half of its requests while it has over three fifths of the load. */
  private int verdict(Runner runner, String requestId, String path) {
    ranAt.merge(requestId, runner.id, (a, b) -> a + "," + b);
    boolean loaded;
    synchronized (newArrivals) {
      long now = record.ms();
      allArrivals.add(now);
      if (runner.version.equals("v2")) {
        newArrivals.add(now);
      }
      for (ArrayDeque<Long> arrivals : List.of(newArrivals, allArrivals)) {
        while (!arrivals.isEmpty() && arrivals.peek() < now - 200) {
          arrivals.remove();
        }
      }
      loaded = newArrivals.size() > 0.6 * allArrivals.size();
    }
    boolean bad = trouble && runner.version.equals("v2") && loaded;
    return bad && Math.random() < BAD_SHARE ? 500 : 200;
  }

  private int catalog(Runner runner, String requestId, String path) {
    ranAt.merge(requestId, runner.id, (a, b) -> a + "," + b);
    return 200;
  }

  private void onStatus(String object, String state) {
    if (state.equals("complete") || state.equals("rolled_back")) {
      finalState = state;
      finalMs = record.ms();
      String ending = state.equals("complete") ? "v1" : "v2";
      Thread ends =
          new Thread(
              () -> {
                if (ending.equals("v2")) {
                  sleep(3_000);
                }
                List.copyOf(runners).stream()
                    .filter(r -> r.service.equals("records") && r.version.equals(ending))
                    .forEach(Runner::stop);
                record.say("rollout is %s: the runners of %s have ended", state, ending);
              });
      ends.setDaemon(true);
      ends.start();
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A client that sends a request about every {@code gapMs} and keeps its channel. */
  private void client(Node node, Kind kind, long gapMs) {
    Thread thread =
        new Thread(
            () -> {
              Client client = new Client(node.ip, node.front);
              while (!over) {
                long beganMs = record.ms();
                request(client, node, kind);
                sleep(Math.max(0, beganMs + (long) (gapMs * (0.5 + Math.random())) - record.ms()));
              }
              client.close();
            });
    thread.setDaemon(true);
    thread.start();
  }

  private void request(Client client, Node node, Kind kind) {
    String id = "r" + ids.incrementAndGet();
    String headers =
        "Host: " + HOST + "\r\nX-Currantslip-Request-Id: " + id
            + "\r\nX-Currantslip-Deadline-Ms: 2000\r\nAuthorization: Bearer " + KEY + "\r\n";
    String body = kind.method.equals("POST") ? "sign-off " + id : "";
    long sentMs = record.ms();
    kind.sent.incrementAndGet();
    Client.Answer answer = client.send(kind.method, kind.path + "x", headers, body, 3_000);
    boolean served =
        answer.status() == 200
            && answer.headers().containsKey("x-currantslip-response-seal")
            && answer.body().startsWith("answer to " + id + " ");
    if (served) {
      kind.served.incrementAndGet();
    }
    if (finalMs > 0 && record.ms() > finalMs + 10_000) {
      kind.lateStatus.computeIfAbsent(answer.status(), s -> new AtomicInteger()).incrementAndGet();
    }
    record.line(
        "%s %s to %s sent %d.%03d, ran at %s, answer %d %s", id, kind.name, node.name,
        sentMs / 1000, sentMs % 1000, ranAt.remove(id), answer.status(),
        served ? "" : answer.body());
  }
}
