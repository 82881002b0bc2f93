package org.currantslip.core.config;

/** The configuration by which this node decides. */
public interface ConfigSource {
  /** Returns the configuration in force; its version never goes back. */
  ConfigView current();

  /** Returns whether the newest version is known recently enough to admit new work. */
  boolean isFresh();
}
