package org.currantslip.adapter.settings;

import org.currantslip.core.common.ResultCode;

/**
 * A problem found in a settings file.
 *
 * @param key dotted key, such as {@code timeouts.store_ms}
 * @param code result code
 * @param message explanation for the operator
 */
public record SettingsProblem(String key, ResultCode code, String message) {
  @Override
  public String toString() {
    return "%s: %d %s".formatted(key, code.number(), message);
  }
}
