package org.currantslip.core.request;

import java.util.List;

/**
 * What only calls have that pass a caller's request on unchanged.
 *
 * @param fields header fields of the caller, in order
 * @param instance instance that has to answer; any other one refuses
 * @param account client account, or empty
 * @param remainingMs time that is left for the answer
 * @param priority rank at the endpoint, zero first
 * @param lastEventId event after which a stream is to go on, or empty for the whole stream
 */
public record ForwardedCall(
    List<HeaderField> fields,
    String instance,
    String account,
    long remainingMs,
    int priority,
    String lastEventId) {}
