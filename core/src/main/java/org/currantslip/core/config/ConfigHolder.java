package org.currantslip.core.config;

import java.util.function.Consumer;
import org.currantslip.core.rules.RulesException;
import org.currantslip.core.rules.RulesParser;
import org.currantslip.schema.AcceptedConfig;

/** Holds the configuration in force; its version never decreases. */
final class ConfigHolder {
  private final Consumer<AcceptedConfig> onAdopted;
  private AcceptedConfig config = AcceptedConfig.getDefaultInstance();
  private ConfigView view = ConfigView.none();

  private ConfigHolder(Consumer<AcceptedConfig> onAdopted) {
    this.onAdopted = onAdopted;
  }

  /** Returns an empty holder that reports each configuration it adopts. */
  static ConfigHolder create(Consumer<AcceptedConfig> onAdopted) {
    return new ConfigHolder(onAdopted);
  }

  ConfigView view() {
    return view;
  }

  AcceptedConfig config() {
    return config;
  }

  long version() {
    return view.version();
  }

  /**
   * Adopts a configuration if it is newer. Returns whether the version in force is now at least the
   * offered one; false means that this node cannot parse its rules.
   */
  boolean offer(AcceptedConfig offered) {
    if (offered.getVersion() <= view.version()) {
      return true;
    }
    try {
      view = new ConfigView(offered.getVersion(), RulesParser.parse(offered.getRulesText()));
    } catch (RulesException e) {
      return false;
    }
    config = offered;
    onAdopted.accept(offered);
    return true;
  }
}
