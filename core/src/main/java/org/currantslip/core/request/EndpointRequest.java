package org.currantslip.core.request;

import com.google.protobuf.ByteString;

/**
 * What is sent to an endpoint.
 *
 * @param correlation id that the endpoint has to send back
 * @param method HTTP method
 * @param path path and query
 * @param contentType media type of the body
 * @param body body, with the model and version filled in
 * @param stream whether server-sent events are asked for
 * @param priority 0 (lowest) to 9
 * @param freshConnection whether a pooled connection must not be used
 * @param idempotencyKey the caller's idempotency key, passed on to a plain service, or empty
 */
public record EndpointRequest(
    String correlation,
    String method,
    String path,
    String contentType,
    ByteString body,
    boolean stream,
    int priority,
    boolean freshConnection,
    String idempotencyKey) {
  /** Returns a request without an idempotency key. */
  public EndpointRequest(
      String correlation,
      String method,
      String path,
      String contentType,
      ByteString body,
      boolean stream,
      int priority,
      boolean freshConnection) {
    this(correlation, method, path, contentType, body, stream, priority, freshConnection, "");
  }
}
