package org.currantslip.core.allowance;

/**
 * Figures for operators.
 *
 * @param coldEndpoints endpoints that are cold
 * @param brittleServices services whose endpoints are brittle
 * @param lentSlots slots that this node has lent to nodes
 * @param heldSlots slots that were lent to this node
 */
public record AllowanceCounts(
    int coldEndpoints, int brittleServices, int lentSlots, int heldSlots) {}
