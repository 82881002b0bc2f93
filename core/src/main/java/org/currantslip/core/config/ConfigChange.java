package org.currantslip.core.config;

import org.currantslip.core.rules.RuleSet;

/**
 * A checked change of configuration.
 *
 * @param operator operator whose token was used
 * @param askedBy who asked for the change
 * @param baseVersion version the change is based on
 * @param rulesText the new rules file
 * @param rules its rules
 * @param nonce value by which the change is recognised when it is sent again; never zero
 */
record ConfigChange(
    String operator,
    String askedBy,
    long baseVersion,
    String rulesText,
    RuleSet rules,
    long nonce) {
  String appliedBy() {
    return operator.isEmpty() ? askedBy : operator + " for " + askedBy;
  }
}
