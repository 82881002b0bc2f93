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

/** Encodes each log event as a single line of JSON. */
public final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {
  private static final Pattern EVENT_PATTERN = Pattern.compile("(?s)([0-9]{4}) ([A-Z_]+) ?(.*)");
  private static final Pattern FIELDS_PATTERN =
      Pattern.compile(
          "([a-z_]+=[^\\s\"]*(?: [a-z_]+=[^\\s\"]*)*?)(?: reason=(.*))?", Pattern.DOTALL);
  private static final Splitter SPACE_SPLITTER = Splitter.on(' ');
  private static final byte[] NO_BYTES = {};

  private final ObjectMapper json = new ObjectMapper();

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
    ObjectNode lineJson = json.createObjectNode();
    lineJson.put("time", Instant.ofEpochMilli(loggingEvent.getTimeStamp()).toString());
    lineJson.put("level", loggingEvent.getLevel().toString());
    String message = Strings.nullToEmpty(loggingEvent.getFormattedMessage());
    Matcher eventMatcher = EVENT_PATTERN.matcher(message);
    if (eventMatcher.matches()) {
      lineJson.put("event", Integer.parseInt(Strings.nullToEmpty(eventMatcher.group(1))));
      lineJson.put("name", eventMatcher.group(2));
      putFields(lineJson, Strings.nullToEmpty(eventMatcher.group(3)));
    } else {
      lineJson.put("logger", loggingEvent.getLoggerName());
      lineJson.put("message", message);
    }
    if (loggingEvent.getThrowableProxy() != null) {
      lineJson.put("error", ThrowableProxyUtil.asString(loggingEvent.getThrowableProxy()));
    }
    try {
      return (json.writeValueAsString(lineJson) + "\n").getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Adds {@code key=value} pairs as an object of fields, and any other text as the message. A last
   * field named {@code reason} takes the rest of the text.
   */
  private static void putFields(ObjectNode lineJson, String text) {
    Matcher fieldsMatcher = FIELDS_PATTERN.matcher(text);
    if (!fieldsMatcher.matches()) {
      lineJson.put("message", text);
      return;
    }
    ObjectNode fields = lineJson.putObject("fields");
    for (String field : SPACE_SPLITTER.split(Strings.nullToEmpty(fieldsMatcher.group(1)))) {
      int equals = field.indexOf('=');
      fields.put(field.substring(0, equals), field.substring(equals + 1));
    }
    if (fieldsMatcher.group(2) != null) {
      fields.put("reason", fieldsMatcher.group(2));
    }
  }

  @Override
  public byte[] footerBytes() {
    return NO_BYTES;
  }
}
