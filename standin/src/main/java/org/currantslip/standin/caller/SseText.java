package org.currantslip.standin.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.currantslip.standin.http.Json;

/** Reads a received stream of server-sent events. */
final class SseText {
  private static final String DATA = "data: ";
  private static final String DONE = "data: [DONE]";
  private static final String END_EVENT = "event: currantslip";

  private SseText() {}

  /** Returns the chunks of the answer. */
  static List<JsonNode> chunks(String body) {
    return events(body)
        .filter(e -> e.startsWith(DATA) && !e.equals(DONE))
        .map(e -> parse(e.substring(DATA.length())))
        .toList();
  }

  /** Returns the closing fields of a node; empty when there are none. */
  static JsonNode end(String body) {
    return events(body)
        .filter(e -> e.startsWith(END_EVENT))
        .map(e -> parse(e.substring(e.indexOf(DATA) + DATA.length())))
        .findFirst()
        .orElse(Json.object());
  }

  static boolean isDone(String body) {
    return body.endsWith(DONE + "\n\n");
  }

  private static Stream<String> events(String body) {
    return Arrays.stream(body.split("\n\n")).filter(e -> !e.isBlank());
  }

  private static JsonNode parse(String json) {
    return Json.parse(json.getBytes(StandardCharsets.UTF_8));
  }
}
