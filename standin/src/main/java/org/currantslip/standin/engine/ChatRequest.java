package org.currantslip.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.http.Exchange;

/**
 * A parsed chat request.
 *
 * @param version requested model version
 * @param stream whether the answer is sent as server-sent events
 * @param priority 0 (lowest) to 9
 * @param prompt content of the last message
 * @param prefixHash hash of the content of the first message
 * @param promptTokens estimated number of tokens of all messages
 * @param maxTokens maximum number of tokens of the answer, or zero for the default
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
    String firstMessage = messages.get(0).path("content").asText();
    int bytes = 0;
    for (JsonNode message : messages) {
      bytes += message.path("content").asText().length();
    }
    return new ChatRequest(
        version.isEmpty() ? options.version() : version,
        body.path("stream").asBoolean(),
        priority(exchange.header("Currantslip-Priority")),
        messages.get(messages.size() - 1).path("content").asText(),
        Hashing.murmur3_128().hashString(firstMessage, StandardCharsets.UTF_8).asLong(),
        1 + bytes / BYTES_PER_TOKEN,
        body.path("max_tokens").asInt());
  }

  private static int priority(String text) {
    boolean digit = text.length() == 1 && Character.isDigit(text.charAt(0));
    return digit ? text.charAt(0) - '0' : DEFAULT_PRIORITY;
  }
}
