package org.currantslip.core.request;

import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Additional fields of a call that forwards a caller's request unchanged.
 *
 * @param fields header fields sent by the caller, in order
 * @param instance id of the instance that must respond; any other instance rejects the request
 * @param account client account, or empty
 * @param remainingMs time remaining until the deadline
 * @param priority priority at the endpoint; zero is served first
 * @param lastEventId id of the event after which to resume the stream, or empty to start from the
 *     beginning
 * @param abandoned whether no response can reach the caller any more; may be asked on any thread
 */
public record ForwardedCall(
    List<HeaderField> fields,
    String instance,
    String account,
    long remainingMs,
    int priority,
    String lastEventId,
    BooleanSupplier abandoned) {}
