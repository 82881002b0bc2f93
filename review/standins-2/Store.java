package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in of the platform's store: kinds, names, revisions, conditional changes, status, lists and
 * waiting watches. Values are kept as the JSON text that was written.
 */
public final class Store {
  private static final class Item {
    String name;
    long rev;
    long created;
    String spec = "null";
    String status = "null";

    String json() {
      return "{\"metadata\":{\"name\":"
          + Text.quote(name)
          + ",\"rev\":"
          + rev
          + ",\"created\":"
          + created
          + ",\"finalizers\":[],\"deleting\":false},\"spec\":"
          + spec
          + ",\"status\":"
          + status
          + "}";
    }
  }

  private record Event(long rev, String kind, String name, boolean removed, String json) {}

  private final Map<String, TreeMap<String, Item>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Text.daemon("store"));
  private long revision = 100;

  public Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
    server.createContext("/api/objects/", this::handle);
    server.setExecutor(threads);
    server.start();
  }

  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  /** Writes an object as the operator or a runner does; returns the new revision. */
  public synchronized long put(String kind, String name, String spec) {
    Item item = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
    if (item == null) {
      item = new Item();
      item.name = name;
      item.created = revision + 1;
      kinds.get(kind).put(name, item);
    }
    item.spec = spec;
    changed(kind, item, false);
    return item.rev;
  }

  public synchronized void remove(String kind, String name) {
    Item item = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
    if (item != null) {
      changed(kind, item, true);
    }
  }

  private void changed(String kind, Item item, boolean removed) {
    item.rev = ++revision;
    events.add(new Event(revision, kind, item.name, removed, item.json()));
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String[] path = exchange.getRequestURI().getRawPath().split("/");
      String kind = path[3];
      String name = path.length > 4 ? decode(path[4]) : "";
      boolean status = path.length > 5 && path[5].equals("status");
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      switch (exchange.getRequestMethod()) {
        case "GET" -> get(exchange, kind, name, query);
        case "POST" -> post(exchange, kind, body);
        case "PUT" -> replace(exchange, kind, name, status, body);
        case "DELETE" -> delete(exchange, kind, name, query);
        default -> answer(exchange, 405, "{}");
      }
    } catch (RuntimeException e) {
      answer(exchange, 400, "{}");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private void get(HttpExchange exchange, String kind, String name, Map<String, String> query)
      throws IOException, InterruptedException {
    String text;
    int code = 200;
    synchronized (this) {
      Map<String, Item> items = kinds.getOrDefault(kind, new TreeMap<>());
      if (query.containsKey("watch")) {
        long after = Long.parseLong(query.get("watch"));
        long untilNs =
            System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        List<Event> found = after(kind, name, after);
        while (found.isEmpty() && System.nanoTime() < untilNs) {
          wait(Math.max(1, (untilNs - System.nanoTime()) / 1_000_000));
          found = after(kind, name, after);
        }
        List<String> parts = new ArrayList<>();
        found.forEach(
            e -> parts.add("{\"removed\":" + e.removed() + ",\"object\":" + e.json() + "}"));
        text =
            "{\"events\":[" + String.join(",", parts) + "],\"current_rev\":" + revision + "}";
      } else if (name.isEmpty()) {
        List<String> parts = new ArrayList<>();
        String from = query.getOrDefault("after", "");
        items.values().stream()
            .filter(i -> i.name.compareTo(from) > 0)
            .forEach(i -> parts.add(i.json()));
        text =
            "{\"items\":["
                + String.join(",", parts)
                + "],\"truncated\":false,\"current_rev\":"
                + revision
                + "}";
      } else {
        Item item = items.get(name);
        code = item == null ? 404 : 200;
        text = item == null ? "{}" : item.json();
      }
    }
    answer(exchange, code, text);
  }

  private List<Event> after(String kind, String name, long after) {
    List<Event> found = new ArrayList<>();
    for (int i = events.size() - 1; i >= 0 && events.get(i).rev() > after; i--) {
      Event e = events.get(i);
      if (e.kind().equals(kind) && (name.isEmpty() || e.name().equals(name))) {
        found.add(0, e);
      }
    }
    return found;
  }

  private void post(HttpExchange exchange, String kind, String body) throws IOException {
    Map<String, String> members = Text.members(body);
    String name = Text.unquote(Text.members(members.get("metadata")).get("name"));
    int code;
    String text;
    synchronized (this) {
      Item existing = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
      if (existing != null) {
        code = 409;
        text = existing.json();
      } else {
        put(kind, name, members.getOrDefault("spec", "null"));
        code = 201;
        text = kinds.get(kind).get(name).json();
      }
    }
    answer(exchange, code, text);
  }

  private void replace(
      HttpExchange exchange, String kind, String name, boolean status, String body)
      throws IOException {
    Map<String, String> members = Text.members(body);
    String rev = Text.members(members.getOrDefault("metadata", "{}")).get("rev");
    int code;
    String text;
    synchronized (this) {
      Item item = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
      if (item == null) {
        code = 404;
        text = "{}";
      } else if (rev != null && Long.parseLong(rev) != item.rev) {
        code = 409;
        text = item.json();
      } else {
        String value = members.getOrDefault(status ? "status" : "spec", "null");
        if (!value.equals(status ? item.status : item.spec)) {
          if (status) {
            item.status = value;
          } else {
            item.spec = value;
          }
          changed(kind, item, false);
        }
        code = 200;
        text = item.json();
      }
    }
    answer(exchange, code, text);
  }

  private void delete(HttpExchange exchange, String kind, String name, Map<String, String> query)
      throws IOException {
    int code = 200;
    synchronized (this) {
      Item item = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
      String rev = query.get("rev");
      if (item == null) {
        code = 404;
      } else if (rev != null && Long.parseLong(rev) != item.rev) {
        code = 409;
      } else {
        remove(kind, name);
      }
    }
    answer(exchange, code, "{}");
  }

  private static void answer(HttpExchange exchange, int code, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(code, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), decode(part.substring(equals + 1)));
    }
    return query;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
