package org.currantslip.node.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.base.Strings;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Writes each log entry as one line of JSON. */
public final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final Pattern EVENT = Pattern.compile("(?s)([0-9]{4}) ([A-Z_]+) ?(.*)");
  private static final Pattern FIELDS = Pattern.compile("[a-z_]+=[^\\s\"]*(?: [a-z_]+=[^\\s\"]*)*");
  private static final Splitter SPACE = Splitter.on(' ');
  private static final byte[] NOTHING = {};

  private final ObjectMapper json = new ObjectMapper();

  /** Returns an encoder. */
  public static JsonLineEncoder create() {
    return new JsonLineEncoder();
  }

  private JsonLineEncoder() {}

  @Override
  public byte[] headerBytes() {
    return NOTHING;
  }

  @Override
  public byte[] encode(ILoggingEvent entry) {
    ObjectNode line = json.createObjectNode();
    line.put("time", Instant.ofEpochMilli(entry.getTimeStamp()).toString());
    line.put("level", entry.getLevel().toString());
    String message = Strings.nullToEmpty(entry.getFormattedMessage());
    Matcher event = EVENT.matcher(message);
    if (event.matches()) {
      line.put("event", Integer.parseInt(Strings.nullToEmpty(event.group(1))));
      line.put("name", event.group(2));
      putFields(line, Strings.nullToEmpty(event.group(3)));
    } else {
      line.put("logger", entry.getLoggerName());
      line.put("message", message);
    }
    if (entry.getThrowableProxy() != null) {
      line.put("error", ThrowableProxyUtil.asString(entry.getThrowableProxy()));
    }
    try {
      return (json.writeValueAsString(line) + "\n").getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Puts {@code key=value} fields into the line as such; any other text stays a message. */
  private static void putFields(ObjectNode line, String text) {
    if (!FIELDS.matcher(text).matches()) {
      line.put("message", text);
      return;
    }
    ObjectNode fields = line.putObject("fields");
    for (String field : SPACE.split(text)) {
      int equals = field.indexOf('=');
      fields.put(field.substring(0, equals), field.substring(equals + 1));
    }
  }

  @Override
  public byte[] footerBytes() {
    return NOTHING;
  }
}
