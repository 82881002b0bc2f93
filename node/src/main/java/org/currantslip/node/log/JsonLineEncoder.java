package org.currantslip.node.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.google.common.base.Strings;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Encodes each log event as a single line of JSON. */
public final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final int NUMBER_LENGTH = 4;
  private static final int LINE_LENGTH = 512;
  private static final String REASON = "reason=";
  private static final byte[] NO_BYTES = {};

  private final JsonFactory json = new JsonFactory();

  /** Creates an encoder. */
  public static JsonLineEncoder create() {
    return new JsonLineEncoder();
  }

  private JsonLineEncoder() {}

  @Override
  public byte[] headerBytes() {
    return NO_BYTES;
  }

  @Override
  public byte[] encode(ILoggingEvent loggingEvent) {
    StringWriter line = new StringWriter(LINE_LENGTH);
    try (JsonGenerator out = json.createGenerator(line)) {
      out.writeStartObject();
      out.writeStringField("time", Instant.ofEpochMilli(loggingEvent.getTimeStamp()).toString());
      out.writeStringField("level", loggingEvent.getLevel().toString());
      String message = Strings.nullToEmpty(loggingEvent.getFormattedMessage());
      int nameEnd = nameEnd(message);
      if (nameEnd > 0) {
        out.writeNumberField("event", Integer.parseInt(message.substring(0, NUMBER_LENGTH)));
        out.writeStringField("name", message.substring(NUMBER_LENGTH + 1, nameEnd));
        boolean space = nameEnd < message.length() && message.charAt(nameEnd) == ' ';
        writeFields(out, message.substring(space ? nameEnd + 1 : nameEnd));
      } else {
        out.writeStringField("logger", loggingEvent.getLoggerName());
        out.writeStringField("message", message);
      }
      if (loggingEvent.getThrowableProxy() != null) {
        out.writeStringField(
            "error", ThrowableProxyUtil.asString(loggingEvent.getThrowableProxy()));
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return line.append('\n').toString().getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the end of the event's name in a message that begins with an event's number of four
   * digits, a space and its name, or 0 for any other message.
   */
  private static int nameEnd(String message) {
    int at = NUMBER_LENGTH + 1;
    if (message.length() <= at || message.charAt(NUMBER_LENGTH) != ' ') {
      return 0;
    }
    for (int i = 0; i < NUMBER_LENGTH; i++) {
      if (message.charAt(i) < '0' || message.charAt(i) > '9') {
        return 0;
      }
    }
    while (at < message.length() && isNameCharacter(message.charAt(at), 'A', 'Z')) {
      at++;
    }
    return at > NUMBER_LENGTH + 1 ? at : 0;
  }

  /**
   * Writes {@code key=value} pairs as an object of fields, and any other text as the message. A
   * last field named {@code reason} takes the rest of the text.
   */
  private static void writeFields(JsonGenerator out, String text) throws IOException {
    Map<String, String> fields = parseFields(text);
    if (fields == null) {
      out.writeStringField("message", text);
      return;
    }
    out.writeObjectFieldStart("fields");
    for (Map.Entry<String, String> field : fields.entrySet()) {
      out.writeStringField(field.getKey(), field.getValue());
    }
    out.writeEndObject();
  }

  /** Returns the fields in order, or null if the text does not consist of fields only. */
  private static @Nullable Map<String, String> parseFields(String text) {
    Map<String, String> fields = new LinkedHashMap<>();
    for (int at = 0; ; ) {
      int equals = at;
      while (equals < text.length() && isNameCharacter(text.charAt(equals), 'a', 'z')) {
        equals++;
      }
      if (equals == at || equals == text.length() || text.charAt(equals) != '=') {
        return null;
      }
      int end = equals + 1;
      while (end < text.length() && isValueCharacter(text.charAt(end))) {
        end++;
      }
      fields.put(text.substring(at, equals), text.substring(equals + 1, end));
      if (end == text.length()) {
        return fields;
      }
      if (text.charAt(end) != ' ') {
        return null;
      }
      at = end + 1;
      if (text.startsWith(REASON, at)) {
        fields.put("reason", text.substring(at + REASON.length()));
        return fields;
      }
    }
  }

  private static boolean isNameCharacter(char c, char first, char last) {
    return (c >= first && c <= last) || c == '_';
  }

  private static boolean isValueCharacter(char c) {
    return c != ' ' && c != '"' && (c < '\t' || c > '\r');
  }

  @Override
  public byte[] footerBytes() {
    return NO_BYTES;
  }
}
