import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store, as far as PROTOCOL.md describes it; sound, on loopback. */
final class Store {
  private static final int PAGE = 500;

  private static final class Obj {
    private String kind;
    private String name;
    private long rev;
    private long created;
    private Object spec;
    private Object status;

    private Map<String, Object> json() {
      Map<String, Object> metadata = new LinkedHashMap<>();
      metadata.put("name", name);
      metadata.put("rev", rev);
      metadata.put("created", created);
      metadata.put("finalizers", List.of());
      metadata.put("deleting", false);
      Map<String, Object> object = new LinkedHashMap<>();
      object.put("metadata", metadata);
      object.put("spec", spec);
      object.put("status", status);
      return object;
    }
  }

  private record Event(long rev, String kind, boolean removed, Map<String, Object> object) {}

  private final Map<String, TreeMap<String, Obj>> kinds = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long rev = 10;
  private final HttpServer server;

  private Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/api/objects/", this::handle);
    server.start();
  }

  static Store start() throws IOException {
    return new Store();
  }

  int port() {
    return server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String[] path = exchange.getRequestURI().getRawPath().substring("/api/objects/".length()).split("/");
      for (int i = 0; i < path.length; i++) {
        path[i] = URLDecoder.decode(path[i], StandardCharsets.UTF_8);
      }
      Map<String, String> query = new TreeMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String part : raw == null ? new String[0] : raw.split("&")) {
        int eq = part.indexOf('=');
        query.put(part.substring(0, eq), URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
      }
      Map<String, Object> body =
          Json.map(readJson(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8)));
      String method = exchange.getRequestMethod();
      if (method.equals("GET")) {
        get(exchange, path, query);
      } else {
        write(exchange, method, path, query, body);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private static Object readJson(String text) {
    return text.isBlank() ? Map.of() : Json.read(text);
  }

  private void get(HttpExchange exchange, String[] path, Map<String, String> query)
      throws IOException, InterruptedException {
    if (path.length > 1) {
      Map<String, Object> found;
      synchronized (this) {
        Obj object = kind(path[0]).get(path[1]);
        found = object == null ? null : object.json();
      }
      reply(exchange, found == null ? 404 : 200, found == null ? Map.of() : found);
      return;
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    if (query.containsKey("watch")) {
      long after = Long.parseLong(query.get("watch"));
      long endMs = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      List<Object> found = new ArrayList<>();
      synchronized (this) {
        for (; ; ) {
          for (Event event : events) {
            if (event.rev() > after && event.kind().equals(path[0])) {
              Map<String, Object> shown = new LinkedHashMap<>();
              shown.put("removed", event.removed());
              shown.put("object", event.object());
              found.add(shown);
            }
          }
          long leftMs = endMs - System.currentTimeMillis();
          if (!found.isEmpty() || leftMs <= 0) {
            break;
          }
          wait(leftMs);
        }
        answer.put("events", found);
        answer.put("current_rev", rev);
      }
    } else {
      synchronized (this) {
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        for (Obj object : kind(path[0]).tailMap(query.getOrDefault("after", ""), false).values()) {
          if (items.size() == PAGE) {
            truncated = true;
            break;
          }
          items.add(object.json());
        }
        answer.put("items", items);
        answer.put("truncated", truncated);
        answer.put("current_rev", rev);
      }
    }
    reply(exchange, 200, answer);
  }

  private TreeMap<String, Obj> kind(String name) {
    return kinds.computeIfAbsent(name, k -> new TreeMap<>());
  }

  private void write(
      HttpExchange exchange, String method, String[] path, Map<String, String> query, Map<String, Object> body)
      throws IOException {
    Map<String, Object> metadata = Json.map(body.get("metadata"));
    Object known = metadata.get("rev") == null ? query.get("rev") : metadata.get("rev");
    String name = path.length > 1 ? path[1] : (String) metadata.get("name");
    int status;
    Map<String, Object> shown;
    synchronized (this) {
      Obj object = kind(path[0]).get(name);
      if (method.equals("POST")) {
        status = object == null ? 200 : 409;
        shown = object == null ? put(path[0], name, body.get("spec")) : object.json();
      } else if (object == null) {
        status = 404;
        shown = Map.of();
      } else if (known != null && Long.parseLong(known instanceof Json.Num n ? n.text() : known.toString()) != object.rev) {
        status = 409;
        shown = object.json();
      } else if (method.equals("DELETE")) {
        status = 200;
        shown = object.json();
        remove(path[0], name);
      } else {
        status = 200;
        shown =
            path.length > 2
                ? putStatus(object, body.get("status"))
                : put(path[0], name, body.get("spec"));
      }
    }
    reply(exchange, status, shown);
  }

  /** Creates or replaces an object, as the operator or a server does; an equal one stays as it is. */
  synchronized Map<String, Object> put(String kind, String name, Object spec) {
    Obj object = kind(kind).get(name);
    if (object != null && Json.write(object.spec).equals(Json.write(spec))) {
      return object.json();
    }
    if (object == null) {
      object = new Obj();
      object.kind = kind;
      object.name = name;
      object.created = rev + 1;
      kind(kind).put(name, object);
    }
    object.spec = spec;
    return changed(object);
  }

  private Map<String, Object> putStatus(Obj object, Object status) {
    if (Json.write(object.status).equals(Json.write(status))) {
      return object.json();
    }
    object.status = status;
    return changed(object);
  }

  private Map<String, Object> changed(Obj object) {
    object.rev = ++rev;
    Map<String, Object> shown = object.json();
    events.add(new Event(rev, object.kind, false, shown));
    notifyAll();
    return shown;
  }

  /** Returns the status of an object, as the operator reads it. */
  synchronized Object status(String kind, String name) {
    Obj object = kind(kind).get(name);
    return object == null ? null : object.status;
  }

  synchronized void remove(String kind, String name) {
    Obj object = kind(kind).remove(name);
    if (object != null) {
      object.rev = ++rev;
      events.add(new Event(rev, kind, true, object.json()));
      notifyAll();
    }
  }

  /** Texts of other writers: the store keeps their bytes as they came, whatever their encoding. */
  static final class Raw {
    private static final char MARK = '\ue000';

    private Raw() {}

    /** Returns a text in which {@link #bytes} puts this byte as it is. */
    static String of(int oneByte) {
      return String.valueOf((char) (MARK + oneByte));
    }

    static byte[] bytes(String text) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      StringBuilder plain = new StringBuilder();
      for (int i = 0; i <= text.length(); i++) {
        boolean raw = i < text.length() && text.charAt(i) >= MARK && text.charAt(i) < MARK + 256;
        if (i == text.length() || raw) {
          out.writeBytes(plain.toString().getBytes(StandardCharsets.UTF_8));
          plain.setLength(0);
        }
        if (raw) {
          out.write(text.charAt(i) - MARK);
        } else if (i < text.length()) {
          plain.append(text.charAt(i));
        }
      }
      return out.toByteArray();
    }
  }

  private static void reply(HttpExchange exchange, int status, Object json) throws IOException {
    byte[] bytes = Raw.bytes(Json.write(json));
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
