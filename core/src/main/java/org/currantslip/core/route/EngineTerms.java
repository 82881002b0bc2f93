package org.currantslip.core.route;

import com.google.common.collect.ImmutableMap;

/**
 * Size of the model engines of a service.
 *
 * @param slots maximum number of concurrent requests
 * @param memoryTokens tokens that running requests and cached prompt parts may hold together
 * @param tokensPerEvent tokens in one event of a stream
 * @param costByModel cost of each model per 1,000 generated tokens
 */
public record EngineTerms(
    int slots, long memoryTokens, int tokensPerEvent, ImmutableMap<String, Double> costByModel) {}
