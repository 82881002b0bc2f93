package org.currantslip.adapter.endpoint;

import org.currantslip.core.request.EndpointRequest;

/** Which form an answer must have to count as whole. */
enum AnswerForm {
  /** Server-sent events with a closing mark. */
  MODEL_STREAM,
  /** One JSON object with token counts. */
  MODEL_WHOLE,
  /** Any body. */
  OPAQUE;

  static final String EVENT_STREAM = "text/event-stream";

  static AnswerForm of(EndpointRequest request) {
    if (request.model().isEmpty()) {
      return OPAQUE;
    }
    return request.stream() ? MODEL_STREAM : MODEL_WHOLE;
  }
}
