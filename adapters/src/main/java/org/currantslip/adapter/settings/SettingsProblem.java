package org.currantslip.adapter.settings;

import org.currantslip.core.common.ResultCode;

/**
 * One problem of a settings file.
 *
 * @param key dotted key, such as {@code timeouts.store_ms}
 * @param code numbered reason
 * @param reason reason in words
 */
public record SettingsProblem(String key, ResultCode code, String reason) {
  @Override
  public String toString() {
    return "%s: %d %s".formatted(key, code.number(), reason);
  }
}
