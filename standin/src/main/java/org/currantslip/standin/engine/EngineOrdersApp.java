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

/** Orders to the engine, with or without a check of their fencing numbers. */
final class EngineOrdersApp {
  private static final Set<String> KINDS = Set.of("load", "unload", "role");
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  /** An order and when it was worked on. */
  private record Carried(String order, String version, long fencing, long startMs, long endMs) {}

  private final EngineOptions options;
  private final Clock clock;
  private final Delays delays;
  private final Set<String> versions = new TreeSet<>();
  private final List<Carried> carried = new ArrayList<>();
  private long highestFencing;

  EngineOrdersApp(EngineOptions options, Clock clock, Delays delays) {
    this.options = options;
    this.clock = clock;
    this.delays = delays;
    versions.add(options.version());
  }

  synchronized boolean serves(String version) {
    return versions.contains(version);
  }

  synchronized String newestVersion() {
    return carried.stream()
        .filter(c -> c.order().equals("load") && versions.contains(c.version()))
        .reduce((a, b) -> b)
        .map(Carried::version)
        .orElse(options.version());
  }

  void take(Exchange exchange) {
    JsonNode body = exchange.json();
    String order = body.path("order").asText();
    boolean whole =
        KINDS.contains(order)
            && body.path("version").isTextual()
            && body.path("fencing").isIntegralNumber();
    if (!whole || !body.path("model").asText().equals(options.model())) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "malformed order");
    }
    long fencing = body.path("fencing").asLong();
    if (!admit(fencing)) {
      exchange.reply(CONFLICT, Json.object().put("error", "old fencing number"));
      return;
    }
    long startMs = clock.nowMs();
    long workMs = order.equals("load") ? options.loadMs() : 0;
    String version = body.path("version").asText();
    delays.after(
        workMs,
        () -> {
          carryOut(new Carried(order, version, fencing, startMs, clock.nowMs()));
          exchange.reply(OK, body);
        });
  }

  synchronized ObjectNode history() {
    ObjectNode answer = Json.object();
    ArrayNode list = answer.putArray("orders");
    carried.forEach(
        c ->
            list.addObject()
                .put("order", c.order())
                .put("version", c.version())
                .put("fencing", c.fencing())
                .put("start_ms", c.startMs())
                .put("end_ms", c.endMs()));
    return answer;
  }

  private synchronized boolean admit(long fencing) {
    if (options.checksFencing() && fencing < highestFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, fencing);
    return true;
  }

  private synchronized void carryOut(Carried order) {
    carried.add(order);
    if (order.order().equals("load")) {
      versions.add(order.version());
    } else if (order.order().equals("unload")) {
      versions.remove(order.version());
    }
  }
}
