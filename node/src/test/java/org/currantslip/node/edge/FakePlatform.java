package org.currantslip.node.edge;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** A store with one configuration and one runner, and that runner, on loopback. */
final class FakePlatform implements AutoCloseable {
  private static final String OBJECTS = "/api/objects/";
  private static final String EMPTY =
      "{\"items\":[],\"events\":[],\"truncated\":false,\"current_rev\":5}";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final CountDownLatch closing = new CountDownLatch(1);
  private final HttpServer store = server();
  private final HttpServer runner = server();

  /** Header fields of each request that the runner got, with lower-case names. */
  final List<Map<String, List<String>>> runnerRequests = new CopyOnWriteArrayList<>();

  FakePlatform() throws IOException {
    store.createContext("/", this::store);
    runner.createContext("/", this::run);
    store.start();
    runner.start();
  }

  private HttpServer server() throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(threads);
    return server;
  }

  String storeAddress() {
    return "127.0.0.1:" + store.getAddress().getPort();
  }

  private void store(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath().substring(OBJECTS.length());
    String query = exchange.getRequestURI().getQuery();
    if (query != null && query.startsWith("watch=")) {
      awaitClose();
      exchange.close();
    } else if (path.equals("config")) {
      reply(exchange, 200, listOf("main", config()));
    } else if (path.equals("servers")) {
      reply(exchange, 200, listOf("i-1", runnerEntry()));
    } else if (path.startsWith("node/") && exchange.getRequestMethod().equals("GET")) {
      reply(exchange, 404, "{}");
    } else if (exchange.getRequestMethod().equals("GET")) {
      reply(exchange, 200, EMPTY);
    } else {
      reply(exchange, 200, "{\"metadata\":{\"name\":\"n\",\"rev\":6}}");
    }
  }

  private void awaitClose() {
    try {
      closing.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String listOf(String name, String spec) {
    return "{\"items\":[{\"metadata\":{\"name\":\"%s\",\"rev\":4},\"spec\":%s,\"status\":null}],"
            .formatted(name, spec)
        + "\"truncated\":false,\"current_rev\":5}";
  }

  private static String config() {
    return "{\"version\":3,\"routes\":["
        + route("r1", "/once/", "unsafe", "")
        + ","
        + route("r2", "/stream/", "streaming", ",\"resumable\":true")
        + "],\"services\":[],\"tenants\":[{\"name\":\"crew\",\"api_keys\":[\"key\"]}]}";
  }

  private static String route(String name, String prefix, String kind, String more) {
    return ("{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
            + "\"service\":\"s\",\"attempts\":1,\"timeout_ms\":5000,\"objective_ms\":1000%s}")
        .formatted(name, prefix, kind, more);
  }

  private String runnerEntry() {
    return ("{\"service\":\"s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z\",\"version\":\"v1\","
            + "\"slots\":4,\"state\":\"ready\"}")
        .formatted(runner.getAddress().getPort());
  }

  private void run(HttpExchange exchange) throws IOException {
    runnerRequests.add(
        exchange.getRequestHeaders().entrySet().stream()
            .collect(
                Collectors.toMap(e -> e.getKey().toLowerCase(Locale.ROOT), Map.Entry::getValue)));
    String id = exchange.getRequestHeaders().getFirst("X-Currantslip-Request-Id");
    exchange.getResponseHeaders().set("X-Currantslip-Request-Id", id);
    exchange.getResponseHeaders().set("X-Currantslip-Response-Seal", "mac");
    exchange.getResponseHeaders().set("X-Currantslip-Server-Load", "1,0,4");
    String path = exchange.getRequestURI().toString();
    reply(exchange, 200, path.startsWith("/stream/") ? "id: 1\ndata: a\n\n" : "ran " + path);
  }

  private static void reply(HttpExchange exchange, int status, String body) throws IOException {
    exchange.getRequestBody().readAllBytes();
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    closing.countDown();
    store.stop(0);
    runner.stop(0);
    threads.shutdownNow();
  }
}
