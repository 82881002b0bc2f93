package org.currantslip.core.limits;

import java.util.List;
import org.currantslip.core.route.PromptPart;

/**
 * A request that asks for a place at an endpoint.
 *
 * @param service service of its route
 * @param account client account
 * @param rank urgency, zero first
 * @param arrivedMs when it came
 * @param objectiveMs time by which its answer is on time
 * @param deadlineMs time by which it has to be answered
 * @param prompt parts of its prompt, empty for a plain service
 */
public record PlaceQuery(
    String service,
    String account,
    int rank,
    long arrivedMs,
    long objectiveMs,
    long deadlineMs,
    List<PromptPart> prompt) {}
