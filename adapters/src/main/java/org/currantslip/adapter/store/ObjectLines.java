package org.currantslip.adapter.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import org.currantslip.core.port.StoredObject;

/** Reads the JSON lines of a listing. */
final class ObjectLines {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ObjectLines() {}

  static List<StoredObject> parse(ByteString lines) {
    return lines.toStringUtf8().lines().map(ObjectLines::parseLine).toList();
  }

  private static StoredObject parseLine(String line) {
    try {
      JsonNode node = MAPPER.readTree(line);
      byte[] value = node.path("value").binaryValue();
      if (!node.path("name").isTextual() || !node.path("version").isNumber() || value == null) {
        throw new IllegalArgumentException("listing line without name, version or value");
      }
      return new StoredObject(
          node.path("name").asText(), node.path("version").asLong(), ByteString.copyFrom(value));
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("listing line with malformed value", e);
    }
  }
}
