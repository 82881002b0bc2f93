package org.currantslip.standin.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.currantslip.standin.engine.AnswerText;
import org.currantslip.standin.http.Json;

/**
 * What a caller got.
 *
 * @param failure how the connection failed, or empty when the answer is complete
 * @param status HTTP status, zero when none arrived
 * @param headers header fields, with lower-case names
 * @param body body as received
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
  private static final int UNKNOWN_CODE = -1;

  /** Returns a header's value, or an empty string. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Returns the final result code, or -1 when none is named. */
  public int code() {
    JsonNode end = end();
    if (end.path("code").isInt()) {
      return end.path("code").asInt();
    }
    String code = header("Currantslip-Code");
    return code.isEmpty() ? UNKNOWN_CODE : Integer.parseInt(code);
  }

  /** Returns the final {@code ran}, or an empty string. */
  public String ran() {
    JsonNode end = end();
    return end.path("ran").isTextual() ? end.path("ran").asText() : header("Currantslip-Ran");
  }

  /** Returns the request id. */
  public String requestId() {
    return header("Currantslip-Request-Id");
  }

  /** Returns whether the body is server-sent events. */
  public boolean isStream() {
    return header("Content-Type").startsWith("text/event-stream");
  }

  /** Returns whether this is a whole answer to this prompt. */
  public boolean isWholeAnswerTo(String prompt) {
    if (!failure.isEmpty() || status != 200) {
      return false;
    }
    List<JsonNode> chunks = isStream() ? SseText.chunks(body) : List.of(json());
    String text = String.join("", chunks.stream().map(CallerAnswer::content).toList());
    boolean marked =
        text.startsWith(AnswerText.marker(prompt))
            && (text.endsWith(AnswerText.GOOD_END) || text.endsWith(AnswerText.POOR_END));
    long tokens =
        chunks.stream().mapToLong(c -> c.path("usage").path("completion_tokens").asLong()).sum();
    boolean counted = !isStream() || chunks.size() == tokens;
    return marked && counted && (!isStream() || SseText.isDone(body));
  }

  /** Returns the body as JSON; empty when it is none. */
  public JsonNode json() {
    try {
      return Json.parse(body.getBytes(StandardCharsets.UTF_8));
    } catch (RuntimeException e) {
      return Json.object();
    }
  }

  /** Returns one line for a report. */
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

  private JsonNode end() {
    return isStream() ? SseText.end(body) : Json.object();
  }

  private static String content(JsonNode chunk) {
    JsonNode choice = chunk.path("choices").path(0);
    return choice.path("delta").path("content").asText("")
        + choice.path("message").path("content").asText("");
  }
}
