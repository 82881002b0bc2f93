package org.currantslip.core.request;

import java.util.List;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * The fields that every answer carries.
 *
 * @param requestId id of the request
 * @param code result code
 * @param ran whether the request ran
 * @param httpStatus HTTP status sent to the caller
 * @param contentType media type of the body
 * @param stream whether data goes out as server-sent events
 * @param model model that answered, or empty
 * @param version its version, or empty
 * @param configVersion version of the configuration that decided
 * @param ruleLines lines of the rules that decided
 * @param retryAfterMs time to come back, zero if that does not help
 * @param sessionToken token to send with the session's next request, or empty
 * @param sessionMoved whether the session had to leave its version
 * @param replayed whether this is the stored answer of an earlier request with the same key
 * @param detail explanation in words, or empty
 * @param endpoint head of the endpoint's answer, if that is passed on unchanged
 */
public record AnswerHead(
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
    @Nullable EndpointHead endpoint) {
  /** Returns the head of an answer that is not passed on unchanged. */
  public AnswerHead(
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
