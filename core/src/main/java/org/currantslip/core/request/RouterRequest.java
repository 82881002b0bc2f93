package org.currantslip.core.request;

import com.google.protobuf.ByteString;
import org.currantslip.core.ledger.LedgerKey;
import org.jspecify.annotations.Nullable;

/**
 * A checked request of a caller.
 *
 * @param requestId id given by this node, unique in the fleet
 * @param account client account
 * @param task task named by the caller
 * @param model model named by the caller, or empty to use the task's cascade
 * @param service plain service, or empty for a model
 * @param method HTTP method
 * @param path path and query below the service
 * @param contentType media type of the body
 * @param body body as received
 * @param stream whether the caller asked for server-sent events
 * @param key idempotency key, or null
 * @param firstAttempt whether the caller says that this key was never sent before
 * @param session session id, or empty
 * @param sessionToken token handed out earlier, or empty
 * @param deadlineMs time by which the answer is due
 * @param priority 0 (lowest) to 9
 * @param promptTokens estimated prompt tokens
 * @param maxTokens most completion tokens asked for
 * @param prefixHash hash of the prompt's prefix, zero when there is none
 * @param forwarded what passes unchanged to an endpoint of a route; null for requests to this
 *     product's own interface
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
    @Nullable LedgerKey key,
    boolean firstAttempt,
    String session,
    String sessionToken,
    long deadlineMs,
    int priority,
    long promptTokens,
    long maxTokens,
    long prefixHash,
    @Nullable ForwardedRequest forwarded) {
  /** Returns a request to this product's own interface. */
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
      @Nullable LedgerKey key,
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
        key,
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
