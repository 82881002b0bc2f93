package org.currantslip.adapter.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalDouble;
import org.currantslip.core.request.EndpointUsage;

/** Reads the token counts and confidence from a model engine's response. */
final class UsageReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final byte[] USAGE_KEY = "\"usage\"".getBytes(StandardCharsets.US_ASCII);

  private UsageReader() {}

  /** Returns the usage in a JSON object, or empty if it has none or is not valid JSON. */
  static Optional<EndpointUsage> read(ByteString json) {
    if (!mentionsUsage(json)) {
      return Optional.empty();
    }
    try {
      JsonNode node = MAPPER.readTree(json.newInput());
      JsonNode usage = node.path("usage");
      boolean complete =
          usage.path("prompt_tokens").isIntegralNumber()
              && usage.path("completion_tokens").isIntegralNumber();
      return complete ? Optional.of(toUsage(usage, node.path("confidence"))) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static EndpointUsage toUsage(JsonNode usage, JsonNode confidence) {
    return new EndpointUsage(
        usage.path("prompt_tokens").asLong(),
        usage.path("completion_tokens").asLong(),
        confidence.isNumber() ? OptionalDouble.of(confidence.asDouble()) : OptionalDouble.empty());
  }

  /** Searches for the usage key, so that most stream chunks need no JSON parsing. */
  private static boolean mentionsUsage(ByteString json) {
    int last = json.size() - USAGE_KEY.length;
    for (int offset = 0; offset <= last; offset++) {
      if (matchesAt(json, offset)) {
        return true;
      }
    }
    return false;
  }

  private static boolean matchesAt(ByteString json, int offset) {
    for (int i = 0; i < USAGE_KEY.length; i++) {
      if (json.byteAt(offset + i) != USAGE_KEY[i]) {
        return false;
      }
    }
    return true;
  }
}
