package org.currantslip.adapter.endpoint;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import org.currantslip.core.request.EndpointRequest;

/** Sets the selected model in the body of a chat request. */
final class ModelRequestBody {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ModelRequestBody() {}

  /** Returns the body to send; a body that is not a JSON object is sent unchanged. */
  static ByteString withModel(EndpointRequest request) {
    if (request.model().isEmpty()) {
      return request.body();
    }
    try {
      if (MAPPER.readTree(request.body().newInput()) instanceof ObjectNode node) {
        node.put("model", request.model());
        return ByteString.copyFrom(MAPPER.writeValueAsBytes(node));
      }
      return request.body();
    } catch (JsonProcessingException e) {
      return request.body();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
