package org.currantslip.core.route;

/**
 * What a model costs.
 *
 * @param model name of the model
 * @param perKiloToken cost of 1,000 generated tokens
 */
public record ModelCost(String model, double perKiloToken) {}
