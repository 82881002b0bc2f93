package org.currantslip.core.request;

import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;

/**
 * Outcome of a request, for metrics and reports.
 *
 * @param account client account
 * @param task task named by the caller
 * @param model model that produced the response, or empty
 * @param version version of that model, or empty
 * @param service name of the plain service, or empty
 * @param code result code
 * @param ran whether the request was executed
 * @param httpStatus HTTP status sent to the caller
 * @param firstByteMs time from start to the first byte sent to the caller
 * @param totalMs time from start to completion
 * @param costMicros cost in millionths of the currency unit
 * @param attempts number of calls made to endpoints
 */
public record RequestOutcome(
    String account,
    String task,
    String model,
    String version,
    String service,
    ResultCode code,
    Ran ran,
    int httpStatus,
    long firstByteMs,
    long totalMs,
    long costMicros,
    int attempts) {}
