package org.currantslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Delays;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;

/** Executes load, unload and role orders, optionally refusing outdated fencing numbers. */
final class OrderHandler {
  private static final Set<String> ORDER_KINDS = Set.of("load", "unload", "role");
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  /** An executed order with its start and end time. */
  private record ExecutedOrder(
      String order, String version, long fencing, long startMs, long endMs) {}

  private final EngineOptions options;
  private final Clock clock;
  private final Delays delays;
  private final Set<String> versions = new TreeSet<>();
  private final List<ExecutedOrder> executed = new ArrayList<>();
  private long highestFencing;

  OrderHandler(EngineOptions options, Clock clock, Delays delays) {
    this.options = options;
    this.clock = clock;
    this.delays = delays;
    versions.add(options.version());
  }

  synchronized boolean serves(String version) {
    return versions.contains(version);
  }

  synchronized String newestVersion() {
    return executed.stream()
        .filter(c -> c.order().equals("load") && versions.contains(c.version()))
        .reduce((a, b) -> b)
        .map(ExecutedOrder::version)
        .orElse(options.version());
  }

  void handle(Exchange exchange) {
    JsonNode body = exchange.json();
    String order = body.path("order").asText();
    boolean wellFormed =
        ORDER_KINDS.contains(order)
            && body.path("version").isTextual()
            && body.path("fencing").isIntegralNumber();
    if (!wellFormed || !body.path("model").asText().equals(options.model())) {
      throw RefusalException.notRun(
          ResultCode.BODY_MALFORMED,
          "malformed order: kind, model, version or fencing number is missing or wrong");
    }
    long fencing = body.path("fencing").asLong();
    if (!acceptFencing(fencing)) {
      exchange.reply(CONFLICT, Json.object().put("error", "old fencing number"));
      return;
    }
    long startMs = clock.nowMs();
    long durationMs = order.equals("load") ? options.loadMs() : 0;
    String version = body.path("version").asText();
    delays.after(
        durationMs,
        () -> {
          execute(new ExecutedOrder(order, version, fencing, startMs, clock.nowMs()));
          exchange.reply(OK, body);
        });
  }

  synchronized ObjectNode history() {
    ObjectNode answer = Json.object();
    ArrayNode orders = answer.putArray("orders");
    executed.forEach(
        c ->
            orders
                .addObject()
                .put("order", c.order())
                .put("version", c.version())
                .put("fencing", c.fencing())
                .put("start_ms", c.startMs())
                .put("end_ms", c.endMs()));
    return answer;
  }

  private synchronized boolean acceptFencing(long fencing) {
    if (options.checksFencing() && fencing < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, fencing);
    return true;
  }

  private synchronized void execute(ExecutedOrder order) {
    executed.add(order);
    if (order.order().equals("load")) {
      versions.add(order.version());
    } else if (order.order().equals("unload")) {
      versions.remove(order.version());
    }
  }
}
