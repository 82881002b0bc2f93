package org.currantslip.core.route;

import java.util.List;

/**
 * A service that routes lead to.
 *
 * @param name its name
 * @param maxConnections most connections one endpoint accepts from all callers
 * @param engine whether its endpoints are model engines
 * @param cacheTokens tokens that one engine can keep, zero for a plain service
 * @param models models of an engine with their costs
 */
public record RoutedService(
    String name, int maxConnections, boolean engine, long cacheTokens, List<ModelCost> models) {}
