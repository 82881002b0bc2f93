import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/** The platform's metadata store, as PROTOCOL.md describes it: objects by kind and name. */
final class Store {
  private record Event(long rev, String kind, String object, boolean removed) {}

  private final HttpServer server;
  private final Record record;
  private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private long rev = 10;

  /** Time that an answer takes. */
  volatile long answerMs = 4;

  /** Told of each status that was written: object path and state. */
  volatile BiConsumer<String, String> statusListener = (path, state) -> {};

  Store(String host, int port, Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress(host, port), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r, "store");
              t.setDaemon(true);
              return t;
            }));
    server.createContext("/api/objects/", this::handle);
    server.start();
  }

  void stop() {
    server.stop(0);
  }

  private TreeMap<String, Map<String, Object>> kind(String kind) {
    return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
  }

  /** Writes the spec of an object as the operator or a runner does; returns its revision. */
  synchronized long put(String kind, String name, Object spec) {
    Map<String, Object> known = kind(kind).get(name);
    Map<String, Object> next = new LinkedHashMap<>();
    next.put("spec", spec);
    next.put("status", known == null ? null : known.get("status"));
    return change(kind, name, next, known);
  }

  /** Removes an object; returns the revision of the removal. */
  synchronized long remove(String kind, String name) {
    Map<String, Object> known = kind(kind).remove(name);
    if (known != null) {
      rev++;
      events.add(new Event(rev, kind, Json.write(known), true));
      notifyAll();
    }
    return rev;
  }

  private long change(
      String kind, String name, Map<String, Object> next, Map<String, Object> known) {
    if (known != null
        && Json.write(known.get("spec")).equals(Json.write(next.get("spec")))
        && Json.write(known.get("status")).equals(Json.write(next.get("status")))) {
      return revOf(known);
    }
    rev++;
    Map<String, Object> metadata = new LinkedHashMap<>();
    metadata.put("name", name);
    metadata.put("rev", rev);
    metadata.put("created", known == null ? rev : meta(known).get("created"));
    metadata.put("finalizers", List.of());
    metadata.put("deleting", false);
    Map<String, Object> object = new LinkedHashMap<>();
    object.put("metadata", metadata);
    object.put("spec", next.get("spec"));
    object.put("status", next.get("status"));
    kind(kind).put(name, object);
    events.add(new Event(rev, kind, Json.write(object), false));
    notifyAll();
    return rev;
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> meta(Map<String, Object> object) {
    return (Map<String, Object>) object.get("metadata");
  }

  private static long revOf(Map<String, Object> object) {
    return ((Number) meta(object).get("rev")).longValue();
  }

  private void handle(HttpExchange x) throws IOException {
    String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    try {
      answer(x, body);
    } catch (InterruptedException | RuntimeException e) {
      record.line("store %s %s failed: %s", x.getRequestMethod(), x.getRequestURI(), e);
      send(x, 500, "{}");
    }
  }

  private void answer(HttpExchange x, String body) throws IOException, InterruptedException {
    String[] path =
        x.getRequestURI().getRawPath().substring("/api/objects/".length()).split("/");
    String kind = path[0];
    String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
    Map<String, String> query = query(x.getRequestURI().getRawQuery());
    String method = x.getRequestMethod();
    if (method.equals("GET")) {
      get(x, kind, name, query);
      return;
    }
    int status;
    String answer;
    synchronized (this) {
      Map<String, Object> sent = body.isEmpty() ? Map.of() : Json.object(body);
      @SuppressWarnings("unchecked")
      Map<String, Object> metadata =
          (Map<String, Object>) sent.getOrDefault("metadata", Map.of());
      if (name.isEmpty()) {
        name = String.valueOf(metadata.get("name"));
      }
      Map<String, Object> known = kind(kind).get(name);
      Object condition = query.containsKey("rev") ? query.get("rev") : metadata.get("rev");
      boolean conflict =
          condition != null
              && (known == null || revOf(known) != Long.parseLong(String.valueOf(condition)));
      if (method.equals("POST") && known != null || conflict) {
        status = 409;
        answer = known == null ? "{}" : Json.write(known);
      } else if (method.equals("PUT") && known == null) {
        status = 404;
        answer = "{}";
      } else if (method.equals("DELETE")) {
        status = known == null ? 404 : 200;
        answer = "{}";
        remove(kind, name);
      } else {
        boolean ofStatus = path.length > 2 && path[2].equals("status");
        Map<String, Object> next = new LinkedHashMap<>();
        next.put("spec", ofStatus ? known.get("spec") : sent.get("spec"));
        next.put(
            "status", ofStatus ? sent.get("status") : known == null ? null : known.get("status"));
        change(kind, name, next, known);
        status = method.equals("POST") ? 201 : 200;
        answer = Json.write(kind(kind).get(name));
        if (ofStatus) {
          String state = String.valueOf(((Map<?, ?>) sent.get("status")).get("state"));
          record.line("store: status of %s/%s is %s", kind, name, Json.write(sent.get("status")));
          statusListener.accept(kind + "/" + name, state);
        }
      }
    }
    Thread.sleep(answerMs);
    send(x, status, answer);
  }

  private void get(HttpExchange x, String kind, String name, Map<String, String> query)
      throws IOException, InterruptedException {
    if (query.containsKey("watch")) {
      long after = Long.parseLong(query.get("watch"));
      long untilMs = record.ms() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      StringBuilder found = new StringBuilder();
      long current;
      synchronized (this) {
        while (true) {
          for (Event e : events) {
            if (e.rev() > after
                && e.kind().equals(kind)
                && (name.isEmpty() || e.object().contains("\"name\":\"" + name + "\""))) {
              found
                  .append(found.length() == 0 ? "" : ",")
                  .append("{\"object\":")
                  .append(e.object())
                  .append(",\"removed\":")
                  .append(e.removed())
                  .append('}');
            }
          }
          current = rev;
          long leftMs = untilMs - record.ms();
          if (found.length() > 0 || leftMs <= 0) {
            break;
          }
          wait(leftMs);
        }
      }
      Thread.sleep(answerMs);
      send(x, 200, "{\"events\":[" + found + "],\"current_rev\":" + current + "}");
      return;
    }
    int status = 200;
    String answer;
    synchronized (this) {
      if (name.isEmpty()) {
        List<Object> items = new ArrayList<>(kind(kind).values());
        String after = query.getOrDefault("after", "");
        items.removeIf(
            o -> String.valueOf(meta(cast(o)).get("name")).compareTo(after) <= 0);
        answer =
            "{\"items\":" + Json.write(items) + ",\"truncated\":false,\"current_rev\":" + rev + "}";
      } else {
        Map<String, Object> known = kind(kind).get(name);
        status = known == null ? 404 : 200;
        answer = known == null ? "{}" : Json.write(known);
      }
    }
    Thread.sleep(answerMs);
    send(x, status, answer);
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> cast(Object o) {
    return (Map<String, Object>) o;
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int i = part.indexOf('=');
        query.put(
            part.substring(0, i), URLDecoder.decode(part.substring(i + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private static void send(HttpExchange x, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    x.getResponseHeaders().set("Content-Type", "application/json");
    x.sendResponseHeaders(status, bytes.length);
    x.getResponseBody().write(bytes);
    x.close();
  }
}
