package org.currantslip.core.routing;

import java.util.Set;

/**
 * What an endpoint is chosen for.
 *
 * @param model model name, or empty for a plain service
 * @param version version of the model, or empty
 * @param service service name, or empty for a model
 * @param prefixHash hash of the prompt's prefix, zero when there is none
 * @param promptTokens estimated prompt tokens
 * @param excluded endpoints already tried
 */
public record RouteQuery(
    String model,
    String version,
    String service,
    long prefixHash,
    long promptTokens,
    Set<String> excluded) {}
