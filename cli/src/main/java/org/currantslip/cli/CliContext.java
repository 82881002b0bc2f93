package org.currantslip.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.currantslip.adapter.settings.SettingsException;
import org.currantslip.adapter.settings.SettingsLoader;
import org.currantslip.adapter.settings.SettingsProblem;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.core.rules.RulesException;
import org.currantslip.core.rules.RulesParser;
import org.currantslip.schema.CliSettings;
import org.jspecify.annotations.Nullable;

/** What the commands share: output, files and the connection to the nodes. */
final class CliContext implements AutoCloseable {
  /** Some editors put it first; it is no part of the text. */
  private static final String BYTE_ORDER_MARK = "\uFEFF";

  private final Output output;
  private final String settingsFile;
  private @Nullable AdminClient client;

  private CliContext(Output output, String settingsFile) {
    this.output = output;
    this.settingsFile = settingsFile;
  }

  static CliContext create(Output output, String settingsFile) {
    return new CliContext(output, settingsFile);
  }

  Output output() {
    return output;
  }

  /** Returns the connection to the nodes, made on first use. */
  AdminClient client() throws Exception {
    AdminClient present = client;
    if (present == null) {
      present = AdminClient.start(settings(read(settingsFile), settingsFile));
      client = present;
    }
    return present;
  }

  /** Reads a text file. */
  static String read(String file) {
    try {
      String text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
      return text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
    } catch (IOException | RuntimeException e) {
      throw CliException.of(ResultCode.FILE_UNREADABLE, "cannot read " + file + ": " + e);
    }
  }

  /** Opens a text file, or standard input for {@code -}. */
  static BufferedReader open(String file) {
    if (file.equals("-")) {
      return new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
    try {
      return Files.newBufferedReader(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException | RuntimeException e) {
      throw CliException.of(ResultCode.FILE_UNREADABLE, "cannot read " + file + ": " + e);
    }
  }

  /** Parses rules; the problems name the file. */
  static RuleSet parse(String text, String file) {
    try {
      return RulesParser.parse(text);
    } catch (RulesException e) {
      throw CliException.of(
          ResultCode.RULES_INVALID,
          e.problems().size() + " problems in the rules",
          e.problems().stream().map(p -> file + ":" + RulesException.describe(p)).toList());
    }
  }

  @Override
  public void close() throws Exception {
    AdminClient present = client;
    if (present != null) {
      present.close();
    }
  }

  private static CliSettings settings(String toml, String file) {
    try {
      return SettingsLoader.loadCli(toml);
    } catch (SettingsException e) {
      throw CliException.of(
          ResultCode.COMMAND_USAGE,
          "problems in the settings " + file,
          e.problems().stream().map(SettingsProblem::toString).toList());
    }
  }
}
