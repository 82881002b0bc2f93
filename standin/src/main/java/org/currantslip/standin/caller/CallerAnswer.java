package org.currantslip.standin.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.currantslip.standin.engine.AnswerText;
import org.currantslip.standin.http.Json;

/**
 * The response that a caller received, or how its connection failed.
 *
 * @param failure error that ended the connection, or empty if the response was received in full
 * @param status HTTP status, or zero if none was received
 * @param headers header fields by lower-case name
 * @param body bytes received, decoded as UTF-8
 * @param firstByteNanos time from the call's start to the first byte of the body
 * @param totalNanos time from the call's start to its end
 */
public record CallerAnswer(
    String failure,
    int status,
    Map<String, String> headers,
    String body,
    long firstByteNanos,
    long totalNanos) {
  private static final int NO_CODE = -1;

  /** Returns the value of a header, or an empty string if it is absent. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Returns the result code of the closing event or the header, or -1 if there is neither. */
  public int code() {
    JsonNode metadata = metadata();
    if (metadata.path("code").isInt()) {
      return metadata.path("code").asInt();
    }
    String code = header("Currantslip-Code");
    return code.isEmpty() ? NO_CODE : Integer.parseInt(code);
  }

  /** Returns {@code ran} of the closing event or the header, or an empty string. */
  public String ran() {
    JsonNode metadata = metadata();
    return metadata.path("ran").isTextual()
        ? metadata.path("ran").asText()
        : header("Currantslip-Ran");
  }

  /** Returns the request id, or an empty string. */
  public String requestId() {
    return header("Currantslip-Request-Id");
  }

  /** Returns whether the body is a stream of server-sent events. */
  public boolean isStream() {
    return header("Content-Type").startsWith("text/event-stream");
  }

  /** Returns whether this is the complete answer to {@code prompt} and to no other prompt. */
  public boolean isCompleteAnswerTo(String prompt) {
    if (!failure.isEmpty() || status != 200) {
      return false;
    }
    List<JsonNode> chunks = isStream() ? SseParser.chunks(body) : List.of(json());
    String text = String.join("", chunks.stream().map(CallerAnswer::content).toList());
    boolean hasMarkers =
        text.startsWith(AnswerText.promptMarker(prompt))
            && (text.endsWith(AnswerText.GOOD_END) || text.endsWith(AnswerText.POOR_END));
    long tokens =
        chunks.stream().mapToLong(c -> c.path("usage").path("completion_tokens").asLong()).sum();
    boolean tokenCountMatches = !isStream() || chunks.size() == tokens;
    return hasMarkers && tokenCountMatches && (!isStream() || SseParser.endsWithDone(body));
  }

  /** Returns the body as JSON, or an empty object if it cannot be parsed. */
  public JsonNode json() {
    try {
      return Json.parse(body.getBytes(StandardCharsets.UTF_8));
    } catch (RuntimeException e) {
      return Json.object();
    }
  }

  /** Returns a one-line summary for reports and error messages. */
  public String describe() {
    return "status %d code %d ran %s id %s failure '%s' body '%s'"
        .formatted(
            status,
            code(),
            ran(),
            requestId(),
            failure,
            body.length() > 200 ? body.substring(0, 200) : body);
  }

  private JsonNode metadata() {
    return isStream() ? SseParser.metadata(body) : Json.object();
  }

  private static String content(JsonNode chunk) {
    JsonNode choice = chunk.path("choices").path(0);
    return choice.path("delta").path("content").asText("")
        + choice.path("message").path("content").asText("");
  }
}
