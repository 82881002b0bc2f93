package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;

/**
 * What is sent to an endpoint.
 *
 * @param correlation id that the endpoint has to send back
 * @param method HTTP method
 * @param path path and query
 * @param contentType media type of the body
 * @param body body as the caller sent it
 * @param model model name to put into the body, or empty for a plain service
 * @param version version asked for, or empty for a plain service
 * @param stream whether server-sent events are asked for
 * @param priority 0 (lowest) to 9
 * @param idempotencyKey idempotency key to pass on, or empty
 * @param freshConnection whether a pooled connection must not be used
 * @param forwarded what passes a caller's request on unchanged; null for requests to this product's
 *     own interface
 */
public record EndpointRequest(
    String correlation,
    String method,
    String path,
    String contentType,
    ByteString body,
    String model,
    String version,
    boolean stream,
    int priority,
    String idempotencyKey,
    boolean freshConnection,
    @Nullable ForwardedCall forwarded) {
  /** Returns the call of a request to this product's own interface. */
  public EndpointRequest(
      String correlation,
      String method,
      String path,
      String contentType,
      ByteString body,
      String model,
      String version,
      boolean stream,
      int priority,
      String idempotencyKey,
      boolean freshConnection) {
    this(
        correlation,
        method,
        path,
        contentType,
        body,
        model,
        version,
        stream,
        priority,
        idempotencyKey,
        freshConnection,
        null);
  }
}
