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

/** Shared context of the commands: output, file access and the client of the administration API. */
final class CliContext implements AutoCloseable {
  /** Some editors write a byte order mark at the start of a file; it is removed. */
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

  /** Returns the client of the administration API, which is created on first use. */
  AdminClient client() throws Exception {
    AdminClient current = client;
    if (current == null) {
      current = AdminClient.start(loadSettings(read(settingsFile), settingsFile));
      client = current;
    }
    return current;
  }

  /** Reads a text file without its byte order mark. */
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

  /** Parses rules; {@code file} is the source name in reported problems. */
  static RuleSet parse(String text, String file) {
    try {
      return RulesParser.parse(text);
    } catch (RulesException e) {
      throw CliException.of(
          ResultCode.RULES_INVALID,
          e.problems().size() + " problems in rules",
          e.problems().stream().map(p -> file + ":" + RulesException.describe(p)).toList());
    }
  }

  @Override
  public void close() throws Exception {
    AdminClient current = client;
    if (current != null) {
      current.close();
    }
  }

  private static CliSettings loadSettings(String toml, String file) {
    try {
      return SettingsLoader.loadCli(toml);
    } catch (SettingsException e) {
      throw CliException.of(
          ResultCode.COMMAND_USAGE,
          "invalid settings file " + file,
          e.problems().stream().map(SettingsProblem::toString).toList());
    }
  }
}
