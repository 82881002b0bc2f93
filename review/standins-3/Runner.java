import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner of a plain service: runs a request for a while and answers with its seal. */
final class Runner {
  /** Told of each request that begins to run; decides its status. */
  interface Verdict {
    int status(Runner runner, String requestId, String path);
  }

  final String id;
  final String service;
  final String version;
  final String address;
  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r, "runner");
            t.setDaemon(true);
            return t;
          });
  private final Store store;
  private final long workMs;
  private final int slots;
  private final Verdict verdict;
  private final AtomicInteger running = new AtomicInteger();
  final AtomicInteger runs = new AtomicInteger();
  private final long born = System.currentTimeMillis();
  private volatile boolean stopped;

  Runner(
      String id,
      String service,
      String version,
      String host,
      int port,
      int slots,
      long workMs,
      Store store,
      Verdict verdict)
      throws IOException {
    this.id = id;
    this.service = service;
    this.version = version;
    this.store = store;
    this.workMs = workMs;
    this.slots = slots;
    this.verdict = verdict;
    address = host + ":" + port;
    server = HttpServer.create(new InetSocketAddress(host, port), 256);
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
    register();
  }

  private void register() {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", address);
    entry.put("zone", "zone-a");
    entry.put("version", version);
    entry.put("slots", slots);
    entry.put("state", "ready");
    entry.put("cold_left_ms", 0);
    entry.put("seq", 1);
    entry.put("born", born);
    store.put("servers", id, entry);
  }

  /** Ends at once: nothing is answered any more, and the entry is removed. */
  void stop() {
    stopped = true;
    server.stop(0);
    threads.shutdownNow();
    store.remove("servers", id);
  }

  private void handle(HttpExchange x) throws IOException {
    byte[] body = x.getRequestBody().readAllBytes();
    String requestId = String.valueOf(x.getRequestHeaders().getFirst("X-Currantslip-Request-Id"));
    String expected = x.getRequestHeaders().getFirst("X-Currantslip-Expect-Instance");
    x.getResponseHeaders().set("X-Currantslip-Request-Id", requestId);
    if (expected != null && !expected.equals(id)) {
      x.getResponseHeaders().set("X-Currantslip-Not-Executed", "1");
      send(x, 421, "");
      return;
    }
    if (running.incrementAndGet() > slots + 24) {
      running.decrementAndGet();
      x.getResponseHeaders().set("X-Currantslip-Not-Executed", "1");
      send(x, 503, "");
      return;
    }
    runs.incrementAndGet();
    String path = x.getRequestURI().toString();
    int status = verdict.status(this, requestId, path);
    try {
      Thread.sleep(workMs);
    } catch (InterruptedException e) {
      x.close();
      return;
    }
    x.getResponseHeaders()
        .set(
            "X-Currantslip-Server-Load",
            Math.min(slots, running.get()) + "," + Math.max(0, running.get() - slots) + "," + slots);
    running.decrementAndGet();
    if (stopped) {
      x.close();
      return;
    }
    x.getResponseHeaders().set("X-Currantslip-Response-Seal", "seal." + id + "." + requestId);
    send(x, status, "answer to " + requestId + " of " + body.length + " bytes");
  }

  private static void send(HttpExchange x, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    x.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      x.getResponseBody().write(bytes);
    }
    x.close();
  }
}
