package org.currantslip.core.config;

/** Source of the configuration that this node uses for its decisions. */
public interface ConfigSource {
  /** Returns the configuration in force; its version never decreases. */
  ConfigView current();

  /** Returns whether the newest version was confirmed recently enough to admit new work. */
  boolean isFresh();
}
