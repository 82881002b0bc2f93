package org.currantslip.core.config;

import org.currantslip.core.rules.RuleSet;

/**
 * The configuration in force.
 *
 * @param version version of the accepted configuration, zero when there is none
 * @param rules its rules
 */
public record ConfigView(long version, RuleSet rules) {
  /** Returns the view before any configuration was accepted. */
  public static ConfigView none() {
    return new ConfigView(0, RuleSet.empty());
  }
}
