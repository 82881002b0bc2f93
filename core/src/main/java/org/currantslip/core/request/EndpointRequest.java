package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import org.jspecify.annotations.Nullable;

/**
 * A request to an endpoint.
 *
 * @param correlation correlation id that the endpoint must echo
 * @param method HTTP method
 * @param path path and query
 * @param contentType media type of the body
 * @param body body as received from the caller
 * @param model model name to set in the body, or empty for a plain service
 * @param version requested model version, or empty for a plain service
 * @param stream whether a response of server-sent events is requested
 * @param priority 0 (lowest) to 9
 * @param idempotencyKey idempotency key to forward, or empty
 * @param freshConnection whether to open a new connection instead of using a pooled one
 * @param forwarded additional fields of a forwarded request; null for requests to the router's own
 *     API
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
  /** Creates a request that serves a call to the router's own API. */
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
