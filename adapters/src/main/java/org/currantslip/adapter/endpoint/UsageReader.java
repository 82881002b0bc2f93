package org.currantslip.adapter.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalDouble;
import org.currantslip.core.request.EndpointUsage;

/** Reads token counts and confidence from an engine's answer. */
final class UsageReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final byte[] USAGE_KEY = "\"usage\"".getBytes(StandardCharsets.US_ASCII);

  private UsageReader() {}

  /** Returns the usage in this JSON object; empty when it has none or is not JSON. */
  static Optional<EndpointUsage> read(ByteString json) {
    if (!mentionsUsage(json)) {
      return Optional.empty();
    }
    try {
      JsonNode node = MAPPER.readTree(json.newInput());
      JsonNode usage = node.path("usage");
      boolean whole =
          usage.path("prompt_tokens").isIntegralNumber()
              && usage.path("completion_tokens").isIntegralNumber();
      return whole ? Optional.of(usage(usage, node.path("confidence"))) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static EndpointUsage usage(JsonNode usage, JsonNode confidence) {
    return new EndpointUsage(
        usage.path("prompt_tokens").asLong(),
        usage.path("completion_tokens").asLong(),
        confidence.isNumber() ? OptionalDouble.of(confidence.asDouble()) : OptionalDouble.empty());
  }

  /** A cheap search, so that not every token's chunk has to be parsed. */
  private static boolean mentionsUsage(ByteString json) {
    int last = json.size() - USAGE_KEY.length;
    for (int at = 0; at <= last; at++) {
      if (matchesAt(json, at)) {
        return true;
      }
    }
    return false;
  }

  private static boolean matchesAt(ByteString json, int at) {
    for (int i = 0; i < USAGE_KEY.length; i++) {
      if (json.byteAt(at + i) != USAGE_KEY[i]) {
        return false;
      }
    }
    return true;
  }
}
