package org.currantslip.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.currantslip.standin.http.EventStream;
import org.currantslip.standin.http.Exchange;
import org.currantslip.standin.http.Json;
import org.jspecify.annotations.Nullable;

/** The generation of one answer, token by token. */
final class Sequence {
  private static final int OK = 200;

  private final Exchange exchange;
  private final ChatRequest request;
  private final AnswerText answer;
  private final String correlation;
  private final long createdNanos = System.nanoTime();
  private @Nullable EventStream events;
  private int generated;
  private long nextTokenMs;

  Sequence(Exchange exchange, ChatRequest request, AnswerText answer) {
    this.exchange = exchange;
    this.request = request;
    this.answer = answer;
    correlation = exchange.correlation();
  }

  ChatRequest request() {
    return request;
  }

  long createdNanos() {
    return createdNanos;
  }

  int generated() {
    return generated;
  }

  /** Sets the time at which the next token is due. */
  void setDueMs(long atMs) {
    nextTokenMs = atMs;
  }

  long dueMs() {
    return nextTokenMs;
  }

  /** Generates one token and returns the state of the sequence afterwards. */
  Progress step() {
    String token = answer.tokens().get(generated++);
    boolean last = generated == answer.tokens().size();
    if (!request.stream()) {
      if (last) {
        replyUnstreamed();
      }
      return last ? Progress.FINISHED : Progress.RUNNING;
    }
    if (events == null) {
      events = exchange.stream(headers());
    }
    if (!events.send(chunk(token, last).toString())) {
      return Progress.CANCELLED;
    }
    if (last) {
      events.end();
    }
    return last ? Progress.FINISHED : Progress.RUNNING;
  }

  private ObjectNode chunk(String token, boolean last) {
    ObjectNode chunk = Json.object().put("object", "chat.completion.chunk");
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta").put("content", token);
    if (last) {
      choice.put("finish_reason", "stop");
      addUsage(chunk);
    }
    return chunk;
  }

  private void replyUnstreamed() {
    ObjectNode body = Json.object().put("object", "chat.completion");
    ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
    choice
        .putObject("message")
        .put("role", "assistant")
        .put("content", String.join("", answer.tokens()));
    choice.put("finish_reason", "stop");
    addUsage(body);
    exchange.reply(OK, "application/json", headers(), Json.bytes(body));
  }

  private void addUsage(ObjectNode body) {
    body.putObject("usage")
        .put("prompt_tokens", request.promptTokens())
        .put("completion_tokens", answer.tokens().size());
    body.put("confidence", answer.confidence());
  }

  private Map<String, String> headers() {
    return Map.of("Currantslip-Correlation", correlation, "Currantslip-Version", request.version());
  }

  /** State of a sequence after a step. */
  enum Progress {
    RUNNING,
    FINISHED,
    CANCELLED
  }
}
