package org.currantslip.core.rollout;

import java.util.List;

/**
 * A chosen version.
 *
 * @param version the version
 * @param moved whether a session had to leave its version
 * @param ruleLines lines of the rules that led to the choice
 */
public record VersionChoice(String version, boolean moved, List<Integer> ruleLines) {}
