package org.currantslip.standin.rating;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;
import org.currantslip.standin.http.StandinApp;

/** Fake rating service: ratings are added with POST and become visible after a lag. */
public final class RatingApp implements StandinApp {
  private static final String PATH = "/ratings";
  private static final int PAGE_SIZE = 1000;
  private static final int OK = 200;

  /** One rating; its cursor is its position in the list, starting at 1. */
  private record Rating(String requestId, boolean good, long atMs) {}

  private final Clock clock;
  private final long lagMs;
  private final List<Rating> ratings = new ArrayList<>();

  private RatingApp(Clock clock, long lagMs) {
    this.clock = clock;
    this.lagMs = lagMs;
  }

  /** Returns a service without ratings. */
  public static RatingApp create(Clock clock, long lagMs) {
    return new RatingApp(clock, lagMs);
  }

  @Override
  public void handle(Exchange exchange) {
    if (!exchange.path().equals(PATH)) {
      throw RefusalException.notRun(ResultCode.PATH_UNKNOWN, exchange.path());
    }
    switch (exchange.method()) {
      case "GET" -> exchange.reply(OK, ratingsAfter(parseCursor(exchange.query("since", "0"))));
      case "POST" -> {
        add(exchange.json());
        exchange.reply(OK, Json.object());
      }
      default -> throw RefusalException.notRun(ResultCode.METHOD_NOT_ALLOWED, exchange.method());
    }
  }

  @Override
  public boolean isControl(String method, String path) {
    return method.equals("POST");
  }

  private synchronized void add(JsonNode body) {
    if (!body.path("request_id").isTextual() || !body.path("good").isBoolean()) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "request_id or good missing");
    }
    ratings.add(
        new Rating(body.path("request_id").asText(), body.path("good").asBoolean(), clock.nowMs()));
  }

  private synchronized ObjectNode ratingsAfter(long cursor) {
    ObjectNode answer = Json.object();
    ArrayNode page = answer.putArray("ratings");
    long visibleUntilMs = clock.nowMs() - lagMs;
    int firstIndex = (int) Math.min(cursor, ratings.size());
    for (int i = firstIndex; i < ratings.size() && page.size() < PAGE_SIZE; i++) {
      Rating rating = ratings.get(i);
      if (rating.atMs() > visibleUntilMs) {
        break;
      }
      page.addObject()
          .put("request_id", rating.requestId())
          .put("good", rating.good())
          .put("cursor", i + 1);
    }
    return answer;
  }

  private static long parseCursor(String text) {
    try {
      return Math.max(0, Long.parseLong(text));
    } catch (NumberFormatException e) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "malformed cursor");
    }
  }
}
