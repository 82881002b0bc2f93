package org.currantslip.standin.object;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;
import org.currantslip.standin.http.RateLimit;
import org.currantslip.standin.http.StandinApp;

/** The object API: versions, conditional updates, watches, call counts and rate limits. */
public final class ObjectApi implements StandinApp {
  private static final String PREFIX = "/objects";
  private static final String CALLS_PATH = "/calls";
  private static final String VERSION_HEADER = "Object-Version";
  private static final String BINARY = "application/octet-stream";
  private static final String JSON_LINES = "application/jsonlines";
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*");
  private static final long NO_SUCH_VERSION = -1;
  private static final int MAX_LIST = 1000;
  private static final int OK = 200;
  private static final int PRECONDITION_FAILED = 412;

  private final ObjectTable table = new ObjectTable();
  private final Watches watches;
  private final RateLimit reads;
  private final RateLimit writes;
  private final AtomicLong readCalls = new AtomicLong();
  private final AtomicLong writeCalls = new AtomicLong();
  private final AtomicLong watchCalls = new AtomicLong();
  private final AtomicLong refusedCalls = new AtomicLong();

  private ObjectApi(Delays delays, double readsPerS, double writesPerS) {
    watches = new Watches(delays);
    reads = RateLimit.perSecond(readsPerS);
    writes = RateLimit.perSecond(writesPerS);
  }

  /** Returns an empty store; a rate of zero means no limit. */
  public static ObjectApi create(Delays delays, double readsPerS, double writesPerS) {
    return new ObjectApi(delays, readsPerS, writesPerS);
  }

  @Override
  public void handle(Exchange exchange) {
    String path = exchange.path();
    if (path.equals(CALLS_PATH)) {
      exchange.reply(OK, calls());
    } else if (path.equals(PREFIX)) {
      list(exchange);
    } else if (path.startsWith(PREFIX + "/")) {
      object(exchange, path.substring(PREFIX.length() + 1));
    } else {
      throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, path);
    }
  }

  @Override
  public boolean isControl(String method, String path) {
    return path.equals(CALLS_PATH);
  }

  private void object(Exchange exchange, String name) {
    if (!NAME.matcher(name).matches()) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "malformed object name");
    }
    switch (exchange.method()) {
      case "GET" -> read(exchange, name);
      case "PUT" -> put(exchange, name);
      case "DELETE" -> delete(exchange, name);
      default -> throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, exchange.method());
    }
  }

  private void read(Exchange exchange, String name) {
    String after = exchange.query("watch", "");
    take(reads, after.isEmpty() ? readCalls : watchCalls);
    Optional<ObjectTable.Entry> entry = table.get(name);
    if (after.isEmpty()) {
      answer(exchange, entry);
      return;
    }
    long version = number(after);
    long waitMs = number(exchange.query("wait_ms", "0"));
    watches.add(name, version, waitMs, exchange, () -> table.get(name));
  }

  static void answer(Exchange exchange, Optional<ObjectTable.Entry> entry) {
    if (entry.isEmpty()) {
      throw RefusalException.notRun(ResultCode.NOT_FOUND, "no such object");
    }
    Map<String, String> headers = Map.of(VERSION_HEADER, Long.toString(entry.get().version()));
    exchange.reply(OK, BINARY, headers, entry.get().value().toByteArray());
  }

  private void put(Exchange exchange, String name) {
    take(writes, writeCalls);
    byte[] value = exchange.body();
    if (value.length > ObjectStore.MAX_VALUE_BYTES) {
      throw RefusalException.notRun(ResultCode.BODY_TOO_LARGE, "value exceeds a megabyte");
    }
    OptionalLong version = table.put(name, ByteString.copyFrom(value), expectedVersion(exchange));
    if (version.isEmpty()) {
      conflict(exchange);
      return;
    }
    Map<String, String> headers = Map.of(VERSION_HEADER, Long.toString(version.getAsLong()));
    exchange.reply(OK, BINARY, headers, new byte[0]);
    watches.changed(name, table.get(name));
  }

  private void delete(Exchange exchange, String name) {
    take(writes, writeCalls);
    if (table.delete(name, expectedVersion(exchange))) {
      exchange.reply(OK, Json.object());
    } else {
      conflict(exchange);
    }
  }

  private void list(Exchange exchange) {
    take(reads, readCalls);
    int limit = (int) Math.min(MAX_LIST, number(exchange.query("limit", "100")));
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    table.list(exchange.query("prefix", ""), exchange.query("after", ""), limit).stream()
        .map(e -> line(e))
        .forEach(
            bytes -> {
              lines.writeBytes(bytes);
              lines.write('\n');
            });
    exchange.reply(OK, JSON_LINES, Map.of(), lines.toByteArray());
  }

  private static byte[] line(ObjectTable.Entry entry) {
    ObjectNode line = Json.object();
    line.put("name", entry.name())
        .put("version", entry.version())
        .put("value", entry.value().toByteArray());
    return Json.bytes(line);
  }

  private void take(RateLimit limit, AtomicLong counter) {
    counter.incrementAndGet();
    if (!limit.tryTake()) {
      refusedCalls.incrementAndGet();
      throw RefusalException.notRun(ResultCode.RATE_LIMITED, "rate of calls exceeded");
    }
  }

  private static long expectedVersion(Exchange exchange) {
    if (exchange.header("If-None-Match").equals("*")) {
      return 0;
    }
    String match = exchange.header("If-Match");
    if (match.isEmpty()) {
      throw RefusalException.notRun(ResultCode.HEADER_MALFORMED, "a write needs a condition");
    }
    long version = number(match);
    return version == 0 ? NO_SUCH_VERSION : version;
  }

  private static long number(String text) {
    try {
      long value = Long.parseLong(text);
      if (value < 0) {
        throw RefusalException.notRun(ResultCode.HEADER_MALFORMED, "negative number");
      }
      return value;
    } catch (NumberFormatException e) {
      throw RefusalException.notRun(ResultCode.HEADER_MALFORMED, "not a number: " + text);
    }
  }

  private static void conflict(Exchange exchange) {
    exchange.reply(PRECONDITION_FAILED, Json.object().put("error", "version conflict"));
  }

  private ObjectNode calls() {
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
