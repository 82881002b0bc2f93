package org.currantslip.standin.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;
import org.currantslip.standin.http.StandinApp;

/** Fake service that counts how often each idempotency key was executed. */
public final class PlainService implements StandinApp {
  private static final String RUNS_PATH = "/runs";
  private static final String LOAD_PATH = "/load";
  private static final String NO_KEY = "";
  private static final int OK = 200;

  private final String id;
  private final Map<String, Integer> runs = new TreeMap<>();

  private PlainService(String id) {
    this.id = id;
  }

  /** Returns a service without executed requests. */
  public static PlainService create(String id) {
    return new PlainService(id);
  }

  @Override
  public void handle(Exchange exchange) {
    switch (exchange.path()) {
      case RUNS_PATH -> exchange.reply(OK, runs());
      case LOAD_PATH -> exchange.reply(OK, load());
      default -> run(exchange);
    }
  }

  @Override
  public boolean isControl(String method, String path) {
    return path.equals(RUNS_PATH);
  }

  private void run(Exchange exchange) {
    String key = exchange.header("Idempotency-Key");
    ObjectNode answer =
        Json.object()
            .put("endpoint", id)
            .put("method", exchange.method())
            .put("path", exchange.path())
            .put("key", key)
            .put("client_port", exchange.clientPort())
            .put("run", incrementRuns(key));
    exchange.reply(
        OK,
        "application/json",
        Map.of("Currantslip-Correlation", exchange.correlation()),
        Json.bytes(answer));
  }

  private synchronized int incrementRuns(String key) {
    return runs.merge(key, 1, Integer::sum);
  }

  private synchronized ObjectNode runs() {
    ObjectNode answer = Json.object();
    ObjectNode counts = answer.putObject("runs");
    runs.entrySet().stream()
        .filter(e -> !e.getKey().equals(NO_KEY))
        .forEach(e -> counts.put(e.getKey(), e.getValue()));
    answer.put("total", runs.values().stream().mapToInt(Integer::intValue).sum());
    return answer;
  }

  private ObjectNode load() {
    return Json.object()
        .put("running", 0)
        .put("waiting", 0)
        .put("tokens_per_s", 0.0)
        .put("reported_ms", System.currentTimeMillis())
        .put("version", "");
  }
}
