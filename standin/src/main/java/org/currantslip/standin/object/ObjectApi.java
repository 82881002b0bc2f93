package org.currantslip.standin.object;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;
import org.currantslip.standin.http.RateLimit;
import org.currantslip.standin.http.StandinApp;

/** Fake object API with revisions, conditional changes, watches and rate limits. */
public final class ObjectApi implements StandinApp {
  private static final String PREFIX = "/api/objects/";
  private static final String CALLS_PATH = "/calls";
  private static final String ERA_HEADER = "Store-Era";
  private static final Splitter PATH_SPLITTER = Splitter.on('/');
  private static final int MAX_LIST_ITEMS = 500;
  private static final int MAX_SPEC_BYTES = 2 << 20;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;

  private final ObjectTable table = new ObjectTable();
  private volatile ObjectTable.Copy copy = table.copy();
  private final PendingWatches watches;
  private final RateLimit readLimit;
  private final RateLimit writeLimit;
  private final AtomicLong readCalls = new AtomicLong();
  private final AtomicLong writeCalls = new AtomicLong();
  private final AtomicLong watchCalls = new AtomicLong();
  private final AtomicLong refusedCalls = new AtomicLong();

  private ObjectApi(Delays delays, double readsPerS, double writesPerS) {
    watches = new PendingWatches(delays);
    readLimit = RateLimit.perSecond(readsPerS);
    writeLimit = RateLimit.perSecond(writesPerS);
  }

  /** Returns an empty store; a rate of zero means no limit. */
  public static ObjectApi create(Delays delays, double readsPerS, double writesPerS) {
    return new ObjectApi(delays, readsPerS, writesPerS);
  }

  /** Copies the current content, for {@link #restoreCopy}. */
  public void takeCopy() {
    copy = table.copy();
  }

  /** Returns to the last copy in a new era: what was written since then is lost. */
  public void restoreCopy() {
    table.restore(copy);
    watches.notifyChanged();
  }

  @Override
  public void handle(Exchange exchange) {
    String path = exchange.path();
    if (path.equals(CALLS_PATH)) {
      reply(exchange, OK, callCounts());
      return;
    }
    if (!path.startsWith(PREFIX)) {
      throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, path);
    }
    List<String> segments = PATH_SPLITTER.splitToList(path.substring(PREFIX.length()));
    switch (segments.size()) {
      case 1 -> handleKind(exchange, segments.get(0));
      case 2 -> handleObject(exchange, segments.get(0), segments.get(1));
      case 3 -> handleStatus(exchange, segments.get(0), segments.get(1), segments.get(2));
      default -> throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, path);
    }
  }

  @Override
  public boolean isControl(String method, String path) {
    return path.equals(CALLS_PATH);
  }

  private void handleKind(Exchange exchange, String kind) {
    switch (exchange.method()) {
      case "GET" -> {
        if (!exchange.query("watch", "").isEmpty()) {
          watch(exchange, e -> e.kind().equals(kind));
        } else {
          list(exchange, kind);
        }
      }
      case "POST" -> {
        checkRate(writeLimit, writeCalls);
        JsonNode body = body(exchange);
        String name = body.path("metadata").path("name").asText();
        if (name.isEmpty()) {
          throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "metadata.name is missing");
        }
        answer(exchange, table.create(kind, name, body.path("spec")));
      }
      default -> throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, exchange.method());
    }
  }

  private void handleObject(Exchange exchange, String kind, String name) {
    switch (exchange.method()) {
      case "GET" -> {
        if (!exchange.query("watch", "").isEmpty()) {
          watch(exchange, e -> e.kind().equals(kind) && e.name().equals(name));
        } else {
          checkRate(readLimit, readCalls);
          reply(exchange, OK, json(table.get(kind, name).orElseThrow(ObjectApi::notFound)));
        }
      }
      case "PUT" -> {
        checkRate(writeLimit, writeCalls);
        JsonNode body = body(exchange);
        answer(exchange, table.replace(kind, name, body.path("spec"), false, revision(body)));
      }
      case "DELETE" -> {
        checkRate(writeLimit, writeCalls);
        answer(exchange, table.delete(kind, name, parseNumber(exchange.query("rev", "0"))));
      }
      default -> throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, exchange.method());
    }
  }

  private void handleStatus(Exchange exchange, String kind, String name, String subresource) {
    if (!subresource.equals("status") || !exchange.method().equals("PUT")) {
      throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, exchange.path());
    }
    checkRate(writeLimit, writeCalls);
    JsonNode body = body(exchange);
    answer(exchange, table.replace(kind, name, body.path("status"), true, revision(body)));
  }

  private void reply(Exchange exchange, int status, JsonNode json) {
    Map<String, String> headers = Map.of(ERA_HEADER, Long.toString(table.era()));
    exchange.reply(status, "application/json", headers, Json.bytes(json));
  }

  private static JsonNode body(Exchange exchange) {
    if (exchange.body().length > MAX_SPEC_BYTES) {
      throw RefusalException.notRun(ResultCode.BODY_TOO_LARGE, "the object exceeds the size limit");
    }
    return exchange.json();
  }

  private static long revision(JsonNode body) {
    return body.path("metadata").path("rev").asLong();
  }

  private static RefusalException notFound() {
    return RefusalException.notRun(ResultCode.NOT_FOUND, "the object does not exist");
  }

  private void answer(Exchange exchange, ObjectTable.Result result) {
    ObjectTable.Entry entry = result.entry().orElseThrow(ObjectApi::notFound);
    reply(exchange, result.applied() ? OK : CONFLICT, json(entry));
    if (result.applied()) {
      watches.notifyChanged();
    }
  }

  private void list(Exchange exchange, String kind) {
    checkRate(readLimit, readCalls);
    long revision = table.revision();
    List<ObjectTable.Entry> found =
        table.list(kind, exchange.query("after", ""), MAX_LIST_ITEMS + 1);
    ObjectNode answer = Json.object();
    ArrayNode items = answer.putArray("items");
    found.stream().limit(MAX_LIST_ITEMS).forEach(e -> items.add(json(e)));
    answer.put("truncated", found.size() > MAX_LIST_ITEMS).put("current_rev", revision);
    reply(exchange, OK, answer);
  }

  private void watch(Exchange exchange, Predicate<ObjectTable.Entry> matches) {
    checkRate(readLimit, watchCalls);
    long after = parseNumber(exchange.query("watch", "0"));
    watches.add(
        parseNumber(exchange.query("wait_ms", "0")),
        timedOut -> {
          long revision = table.revision();
          Optional<List<ObjectTable.Event>> changes = table.changesAfter(after, matches);
          if (changes.isEmpty()) {
            reply(exchange, GONE, Json.object());
            return true;
          }
          if (changes.get().isEmpty() && !timedOut) {
            return false;
          }
          reply(exchange, OK, events(changes.get(), revision));
          return true;
        });
  }

  private static ObjectNode events(List<ObjectTable.Event> changes, long revision) {
    ObjectNode answer = Json.object();
    ArrayNode events = answer.putArray("events");
    changes.forEach(
        c -> events.addObject().put("removed", c.removed()).set("object", json(c.entry())));
    return answer.put("current_rev", revision);
  }

  private static ObjectNode json(ObjectTable.Entry entry) {
    ObjectNode object = Json.object();
    ObjectNode metadata = object.putObject("metadata");
    metadata
        .put("name", entry.name())
        .put("rev", entry.revision())
        .put("created", entry.created())
        .put("deleting", false)
        .putArray("finalizers");
    object.set("spec", entry.spec());
    object.set("status", entry.status());
    return object;
  }

  private void checkRate(RateLimit limit, AtomicLong counter) {
    counter.incrementAndGet();
    if (!limit.tryTake()) {
      refusedCalls.incrementAndGet();
      throw RefusalException.notRun(ResultCode.RATE_LIMITED, "call rate limit exceeded");
    }
  }

  private static long parseNumber(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw RefusalException.notRun(ResultCode.HEADER_MALFORMED, "not a number: " + text);
    }
  }

  private ObjectNode callCounts() {
    long readCount = readCalls.get();
    long writeCount = writeCalls.get();
    long watchCount = watchCalls.get();
    return Json.object()
        .put("reads", readCount)
        .put("writes", writeCount)
        .put("watches", watchCount)
        .put("refused", refusedCalls.get())
        .put("total", readCount + writeCount + watchCount);
  }
}
