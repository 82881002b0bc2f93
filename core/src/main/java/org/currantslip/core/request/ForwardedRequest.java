package org.currantslip.core.request;

import java.util.List;
import org.currantslip.core.route.PromptPart;

/**
 * What only requests have that pass unchanged to an endpoint of their route.
 *
 * @param host host that the caller named
 * @param key key of the client account, or empty
 * @param fields header fields to pass on, in order
 * @param prompt parts of the prompt in order, empty when the caller names none
 * @param lastEventId last event that the caller has of an earlier answer, or empty
 */
public record ForwardedRequest(
    String host,
    String key,
    List<HeaderField> fields,
    List<PromptPart> prompt,
    String lastEventId) {}
