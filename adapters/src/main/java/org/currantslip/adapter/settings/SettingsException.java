package org.currantslip.adapter.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a settings file is invalid; carries every problem found. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<SettingsProblem> problems;

  private SettingsException(ImmutableList<SettingsProblem> problems) {
    super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
    this.problems = problems;
  }

  /** Returns an exception with these problems. */
  public static SettingsException of(List<SettingsProblem> problems) {
    return new SettingsException(ImmutableList.copyOf(problems));
  }

  /** Returns all problems in the order in which they were found. */
  public ImmutableList<SettingsProblem> problems() {
    return problems;
  }
}
