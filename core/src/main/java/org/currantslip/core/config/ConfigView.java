package org.currantslip.core.config;

import org.currantslip.core.rules.RuleSet;

/**
 * The configuration in force.
 *
 * @param version version of the accepted configuration; zero if there is none
 * @param rules rules of that version
 */
public record ConfigView(long version, RuleSet rules) {
  /** Returns the view used before any configuration is accepted. */
  public static ConfigView none() {
    return new ConfigView(0, RuleSet.empty());
  }
}
