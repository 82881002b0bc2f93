package org.currantslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Exchange;

/**
 * A chat request as the engine reads it.
 *
 * @param version version asked for
 * @param stream whether server-sent events are asked for
 * @param priority 0 (lowest) to 9
 * @param prompt last message
 * @param prefixHash hash of the first message
 * @param promptTokens tokens of all messages
 * @param maxTokens most tokens of the answer, zero when not given
 */
record ChatRequest(
    String version,
    boolean stream,
    int priority,
    String prompt,
    long prefixHash,
    int promptTokens,
    int maxTokens) {
  private static final int BYTES_PER_TOKEN = 4;
  private static final int DEFAULT_PRIORITY = 5;

  static ChatRequest read(Exchange exchange, EngineOptions options) {
    JsonNode body = exchange.json();
    JsonNode messages = body.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "messages missing");
    }
    if (!body.path("model").asText().equals(options.model())) {
      throw RefusalException.notRun(ResultCode.MODEL_UNKNOWN, body.path("model").asText());
    }
    String version = exchange.header("Currantslip-Version");
    String first = messages.get(0).path("content").asText();
    int bytes = 0;
    for (JsonNode message : messages) {
      bytes += message.path("content").asText().length();
    }
    return new ChatRequest(
        version.isEmpty() ? options.version() : version,
        body.path("stream").asBoolean(),
        priority(exchange.header("Currantslip-Priority")),
        messages.get(messages.size() - 1).path("content").asText(),
        Hashing.murmur3_128().hashString(first, StandardCharsets.UTF_8).asLong(),
        1 + bytes / BYTES_PER_TOKEN,
        body.path("max_tokens").asInt());
  }

  private static int priority(String text) {
    boolean digit = text.length() == 1 && Character.isDigit(text.charAt(0));
    return digit ? text.charAt(0) - '0' : DEFAULT_PRIORITY;
  }
}
