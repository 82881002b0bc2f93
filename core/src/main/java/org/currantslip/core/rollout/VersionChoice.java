package org.currantslip.core.rollout;

import java.util.List;

/**
 * Result of choosing a model version for a request.
 *
 * @param version the chosen version
 * @param sessionMoved whether the session had to change its version
 * @param ruleLines line numbers of the rules that determined the choice
 */
public record VersionChoice(String version, boolean sessionMoved, List<Integer> ruleLines) {}
