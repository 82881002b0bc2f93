package org.currantslip.standin.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.currantslip.standin.http.Json;

/** Parses a received body of server-sent events. */
final class SseParser {
  private static final String DATA_PREFIX = "data: ";
  private static final String DONE_EVENT = "data: [DONE]";
  private static final String METADATA_PREFIX = "event: currantslip";

  private SseParser() {}

  /** Returns the JSON chunks of the answer, without the closing {@code [DONE]}. */
  static List<JsonNode> chunks(String body) {
    return events(body)
        .filter(e -> e.startsWith(DATA_PREFIX) && !e.equals(DONE_EVENT))
        .map(e -> parse(e.substring(DATA_PREFIX.length())))
        .toList();
  }

  /** Returns the fields of the node's closing event, or an empty object if there is none. */
  static JsonNode metadata(String body) {
    return events(body)
        .filter(e -> e.startsWith(METADATA_PREFIX))
        .map(e -> parse(e.substring(e.indexOf(DATA_PREFIX) + DATA_PREFIX.length())))
        .findFirst()
        .orElse(Json.object());
  }

  static boolean endsWithDone(String body) {
    return body.endsWith(DONE_EVENT + "\n\n");
  }

  private static Stream<String> events(String body) {
    return Arrays.stream(body.split("\n\n")).filter(e -> !e.isBlank());
  }

  private static JsonNode parse(String json) {
    return Json.parse(json.getBytes(StandardCharsets.UTF_8));
  }
}
