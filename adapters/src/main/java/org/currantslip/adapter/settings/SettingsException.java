package org.currantslip.adapter.settings;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.stream.Collectors;

/** A settings file with problems; all of them are reported together. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient ImmutableList<SettingsProblem> problems;

  private SettingsException(ImmutableList<SettingsProblem> problems) {
    super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
    this.problems = problems;
  }

  /** Returns an exception that reports these problems. */
  public static SettingsException of(List<SettingsProblem> problems) {
    return new SettingsException(ImmutableList.copyOf(problems));
  }

  /** Returns all problems, in order of the schema. */
  public ImmutableList<SettingsProblem> problems() {
    return problems;
  }
}
