package org.currantslip.node.log;

import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against lines whose fields differ from what the event's text says. */
final class JsonLineEncoderTest {
  private static final Map<String, String> LINES =
      Map.of(
          "1001 NODE_STARTED node=a incarnation=7",
          "\"event\":1001,\"name\":\"NODE_STARTED\","
              + "\"fields\":{\"node\":\"a\",\"incarnation\":\"7\"}",
          "1002 NODE_SERVING ",
          "\"event\":1002,\"name\":\"NODE_SERVING\",\"message\":\"\"",
          "4001 X empty= url=a=b reason=the rest = \"quoted\"\n",
          "\"event\":4001,\"name\":\"X\",\"fields\":{\"empty\":\"\",\"url\":\"a=b\","
              + "\"reason\":\"the rest = \\\"quoted\\\"\\n\"}",
          "4001 X a=1 b=2 a=3",
          "\"event\":4001,\"name\":\"X\",\"fields\":{\"a\":\"3\",\"b\":\"2\"}",
          "4001 X reason=two words",
          "\"event\":4001,\"name\":\"X\",\"message\":\"reason=two words\"",
          "4001 X a=1\tb=2",
          "\"event\":4001,\"name\":\"X\",\"message\":\"a=1\\tb=2\"",
          "4001 X a=1 ",
          "\"event\":4001,\"name\":\"X\",\"message\":\"a=1 \"",
          "40011 X a=1",
          "\"logger\":\"l\",\"message\":\"40011 X a=1\"",
          "4001 x a=1",
          "\"logger\":\"l\",\"message\":\"4001 x a=1\"",
          "",
          "\"logger\":\"l\",\"message\":\"\"");

  @Test
  void fieldsAreThoseOfTheText() {
    LINES.forEach(
        (text, expected) ->
            assertWithMessage(text)
                .that(encode(text))
                .isEqualTo(
                    "{\"time\":\"1970-01-01T00:00:00.005Z\",\"level\":\"INFO\","
                        + expected
                        + "}\n"));
  }

  private static String encode(String text) {
    LoggingEvent event = new LoggingEvent();
    event.setLoggerName("l");
    event.setLevel(Level.INFO);
    event.setTimeStamp(5);
    event.setMessage(text);
    return new String(JsonLineEncoder.create().encode(event), StandardCharsets.UTF_8);
  }
}
