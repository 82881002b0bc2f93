package org.currantslip.adapter.endpoint;

import org.currantslip.core.request.EndpointRequest;

/** Format that a response must have to be accepted as complete. */
enum ResponseFormat {
  /** Server-sent events that end with {@code [DONE]}. */
  MODEL_STREAM,
  /** A single JSON object that contains token counts. */
  MODEL_JSON,
  /** Any body. */
  OPAQUE;

  static final String EVENT_STREAM_TYPE = "text/event-stream";

  static ResponseFormat of(EndpointRequest request) {
    if (request.model().isEmpty()) {
      return OPAQUE;
    }
    return request.stream() ? MODEL_STREAM : MODEL_JSON;
  }
}
