package org.currantslip.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.schema.NodeRecord;

/** Builds the JSON documents that the caller server generates itself. */
final class ResponseJson {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ResponseJson() {}

  static byte[] error(ResponseHead head) {
    ObjectNode root = JSON.createObjectNode();
    root.putObject("error")
        .put("code", head.code().number())
        .put("name", head.code().name())
        .put("message", head.detail())
        .put("ran", head.ran().text())
        .put("retry_after_ms", head.retryAfterMs());
    return toBytes(root);
  }

  /** Returns the data of the event that ends a stream. */
  static byte[] streamEnd(ResponseHead head) {
    ObjectNode root =
        JSON.createObjectNode()
            .put("code", head.code().number())
            .put("name", head.code().name())
            .put("ran", head.ran().text())
            .put("request_id", head.requestId())
            .put("model", head.model())
            .put("version", head.version())
            .put("config_version", head.configVersion());
    ArrayNode ruleLines = root.putArray("rule_lines");
    head.ruleLines().forEach(ruleLines::add);
    root.put("retry_after_ms", head.retryAfterMs())
        .put("session_token", head.sessionToken())
        .put("session_moved", head.sessionMoved())
        .put("replayed", head.replayed())
        .put("message", head.detail());
    return toBytes(root);
  }

  static byte[] entries(List<NodeRecord> nodes, long ttlMs) {
    ObjectNode root = JSON.createObjectNode();
    ArrayNode nodeArray = root.putArray("nodes");
    nodes.forEach(
        n ->
            nodeArray
                .addObject()
                .put("name", n.getId().getName())
                .put("address", n.getCallerAddress()));
    root.put("ttl_ms", ttlMs);
    return toBytes(root);
  }

  private static byte[] toBytes(ObjectNode root) {
    try {
      return JSON.writeValueAsBytes(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
