package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import org.currantslip.core.ledger.LedgerKey;
import org.jspecify.annotations.Nullable;

/**
 * A validated request from a caller.
 *
 * @param requestId id assigned by this node, unique across the fleet
 * @param account client account
 * @param task task named by the caller
 * @param model model named by the caller, or empty to use the task's cascade
 * @param service name of a plain service, or empty for a model request
 * @param method HTTP method
 * @param path path and query, relative to the service
 * @param contentType media type of the body
 * @param body request body as received
 * @param stream whether the caller requested server-sent events
 * @param idempotencyKey idempotency key, or null
 * @param firstAttempt whether the caller states that it has not sent this key before
 * @param session session id, or empty
 * @param sessionToken session tokens issued earlier, or empty
 * @param deadlineMs deadline for the response
 * @param priority 0 (lowest) to 9
 * @param promptTokens estimated prompt tokens
 * @param maxTokens maximum number of completion tokens requested
 * @param prefixHash hash of the prompt prefix, or zero if there is none
 * @param forwarded additional fields of a forwarded request; null for requests to the router's own
 *     API
 */
public record RouterRequest(
    String requestId,
    String account,
    String task,
    String model,
    String service,
    String method,
    String path,
    String contentType,
    ByteString body,
    boolean stream,
    @Nullable LedgerKey idempotencyKey,
    boolean firstAttempt,
    String session,
    String sessionToken,
    long deadlineMs,
    int priority,
    long promptTokens,
    long maxTokens,
    long prefixHash,
    @Nullable ForwardedRequest forwarded) {
  /** Creates a request to the router's own API. */
  public RouterRequest(
      String requestId,
      String account,
      String task,
      String model,
      String service,
      String method,
      String path,
      String contentType,
      ByteString body,
      boolean stream,
      @Nullable LedgerKey idempotencyKey,
      boolean firstAttempt,
      String session,
      String sessionToken,
      long deadlineMs,
      int priority,
      long promptTokens,
      long maxTokens,
      long prefixHash) {
    this(
        requestId,
        account,
        task,
        model,
        service,
        method,
        path,
        contentType,
        body,
        stream,
        idempotencyKey,
        firstAttempt,
        session,
        sessionToken,
        deadlineMs,
        priority,
        promptTokens,
        maxTokens,
        prefixHash,
        null);
  }

  /** Returns whether this is a call to a plain service. */
  public boolean isService() {
    return !service.isEmpty();
  }
}
