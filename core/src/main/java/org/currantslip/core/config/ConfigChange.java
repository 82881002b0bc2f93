package org.currantslip.core.config;

import org.currantslip.core.rules.RuleSet;

/**
 * A validated configuration change.
 *
 * @param operator operator whose token authorized the change
 * @param askedBy person who requested the change
 * @param baseVersion version that the change is based on
 * @param rulesText text of the new rules file
 * @param rules parsed rules
 * @param nonce value that identifies the change when it is resent; never zero
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
