package org.currantslip.core.request;

import java.util.List;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Head of a response to the caller: status, result code and routing metadata.
 *
 * @param requestId request id
 * @param code result code
 * @param ran whether the request was executed
 * @param httpStatus HTTP status sent to the caller
 * @param contentType media type of the body
 * @param stream whether the body is sent as server-sent events
 * @param model model that produced the response, or empty
 * @param version version of that model, or empty
 * @param configVersion version of the configuration used to route the request
 * @param ruleLines line numbers of the rules that were applied
 * @param retryAfterMs delay before a retry, or zero if a retry cannot succeed
 * @param sessionToken token to send with the session's next request, or empty
 * @param sessionMoved whether the session was moved to another model version
 * @param replayed whether this is the stored response to an earlier request with the same
 *     idempotency key
 * @param detail human-readable explanation, or empty
 * @param endpointHead head of the endpoint's response if it is relayed unchanged, otherwise null
 */
public record ResponseHead(
    String requestId,
    ResultCode code,
    Ran ran,
    int httpStatus,
    String contentType,
    boolean stream,
    String model,
    String version,
    long configVersion,
    List<Integer> ruleLines,
    long retryAfterMs,
    String sessionToken,
    boolean sessionMoved,
    boolean replayed,
    String detail,
    @Nullable EndpointResponseHead endpointHead) {
  /** Creates the head of a response that is not relayed from an endpoint. */
  public ResponseHead(
      String requestId,
      ResultCode code,
      Ran ran,
      int httpStatus,
      String contentType,
      boolean stream,
      String model,
      String version,
      long configVersion,
      List<Integer> ruleLines,
      long retryAfterMs,
      String sessionToken,
      boolean sessionMoved,
      boolean replayed,
      String detail) {
    this(
        requestId,
        code,
        ran,
        httpStatus,
        contentType,
        stream,
        model,
        version,
        configVersion,
        ruleLines,
        retryAfterMs,
        sessionToken,
        sessionMoved,
        replayed,
        detail,
        null);
  }
}
