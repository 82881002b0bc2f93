package org.currantslip.node.log;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.currantslip.core.common.LogEvent;
import org.junit.jupiter.api.Test;

final class LogEventsTest {
  private static final Path EVENT_TABLE = Path.of("..", "docs", "LOG_EVENTS.md");

  @Test
  void documentationListsExactlyAllEvents() throws IOException {
    List<String> rows =
        Files.readAllLines(EVENT_TABLE).stream()
            .filter(line -> line.matches("\\| [0-9]{4} .*"))
            .map(line -> String.join("|", Arrays.copyOf(line.split("\\|"), 4)))
            .toList();

    assertThat(rows)
        .containsExactlyElementsIn(
            Arrays.stream(LogEvent.values())
                .map(e -> "| " + e.number() + " | " + e + " | " + e.level() + " ")
                .toList());
  }

  @Test
  void numbersAreUniqueAndResolvable() {
    for (LogEvent event : LogEvent.values()) {
      assertThat(LogEvent.ofNumber(event.number())).hasValue(event);
    }
  }

  @Test
  void encodesEventAsSingleJsonLine() throws IOException {
    LoggerContext context = new LoggerContext();
    LoggingEvent loggingEvent =
        new LoggingEvent(
            "", context.getLogger("x"), Level.WARN, "1102 MEMBER_LOST node=\"a\"\nb", null, null);

    byte[] line = JsonLineEncoder.create().encode(loggingEvent);

    JsonNode json = new ObjectMapper().readTree(line);
    assertThat(json.path("event").asInt()).isEqualTo(1102);
    assertThat(json.path("name").asText()).isEqualTo("MEMBER_LOST");
    assertThat(json.path("message").asText()).isEqualTo("node=\"a\"\nb");
    assertThat(json.path("level").asText()).isEqualTo("WARN");
    assertThat(json.has("fields")).isFalse();
    assertThat(new String(line, java.nio.charset.StandardCharsets.UTF_8).strip())
        .doesNotContain("\n");
  }

  @Test
  void reasonTakesTheRestOfTheLine() throws IOException {
    LoggingEvent loggingEvent =
        new LoggingEvent(
            "",
            new LoggerContext().getLogger("x"),
            Level.WARN,
            "4004 ATTEMPT_FAILED request=9c41 age_ms=3 reason=java.io.EOFException: \"a\" b=c",
            null,
            null);

    JsonNode fields =
        new ObjectMapper().readTree(JsonLineEncoder.create().encode(loggingEvent)).path("fields");

    assertThat(fields.path("request").asText()).isEqualTo("9c41");
    assertThat(fields.path("age_ms").asText()).isEqualTo("3");
    assertThat(fields.path("reason").asText()).isEqualTo("java.io.EOFException: \"a\" b=c");
  }

  @Test
  void encodesFieldsAsJsonObject() throws IOException {
    LoggerContext context = new LoggerContext();
    LoggingEvent loggingEvent =
        new LoggingEvent(
            "",
            context.getLogger("x"),
            Level.WARN,
            "4002 REQUEST_FAILED request=9c41 code=5002 endpoint=",
            null,
            null);

    JsonNode json = new ObjectMapper().readTree(JsonLineEncoder.create().encode(loggingEvent));

    assertThat(json.path("fields").path("request").asText()).isEqualTo("9c41");
    assertThat(json.path("fields").path("code").asText()).isEqualTo("5002");
    assertThat(json.path("fields").path("endpoint").asText()).isEmpty();
    assertThat(json.has("message")).isFalse();
  }
}
