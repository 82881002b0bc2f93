package org.currantslip.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;

/** Parses and writes the JSON bodies of the stand-ins. */
public final class Json {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  /** Returns an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Parses a body; an empty or malformed one is refused. */
  public static JsonNode parse(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (node == null || node.isMissingNode()) {
        throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "empty body");
      }
      return node;
    } catch (IOException e) {
      throw RefusalException.notRun(ResultCode.BODY_MALFORMED, "malformed JSON");
    }
  }

  /** Returns a bean or record as a JSON tree. */
  public static JsonNode tree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /** Serializes a tree to UTF-8 bytes. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
