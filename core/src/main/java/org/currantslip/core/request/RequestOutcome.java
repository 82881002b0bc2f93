package org.currantslip.core.request;

import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;

/**
 * How a request ended, for reports.
 *
 * @param account client account
 * @param task task of the request
 * @param model model that answered, or empty
 * @param version its version, or empty
 * @param service plain service, or empty
 * @param code result code
 * @param ran whether it ran
 * @param httpStatus status sent to the caller
 * @param firstByteMs time to the first byte sent to the caller
 * @param totalMs time to the end
 * @param costMicros cost in millionths of the currency unit
 * @param attempts calls made to endpoints
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
