package org.currantslip.adapter.settings;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.collect.ImmutableList;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.CliSettings;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.NodeSettings;

/** Parses TOML settings into the protobuf messages of the schema. */
public final class SettingsLoader {
  private static final int MAX_TEXT_CHARS = 1 << 20;
  private static final TomlMapper TOML_MAPPER = new TomlMapper();

  private SettingsLoader() {}

  /**
   * Reads the settings of a node.
   *
   * @throws SettingsException if the settings are invalid; lists every problem found
   */
  public static NodeSettings loadNode(String toml) throws SettingsException {
    NodeSettings.Builder builder = NodeSettings.newBuilder();
    List<SettingsProblem> problems = new ArrayList<>();
    parseInto(toml, builder, problems);
    NodeSettings settings = builder.build();
    problems.addAll(NodeSettingsValidator.validate(settings));
    rejectIfAny(problems);
    return settings;
  }

  /**
   * Reads the settings of an edge node, which forwards requests by route.
   *
   * @throws SettingsException if the settings are invalid; lists every problem found
   */
  public static EdgeSettings loadEdge(String toml) throws SettingsException {
    EdgeSettings.Builder builder = EdgeSettings.newBuilder();
    List<SettingsProblem> problems = new ArrayList<>();
    parseInto(toml, builder, problems);
    rejectIfAny(problems);
    return builder.build();
  }

  /**
   * Reads the settings of the operators' command-line tool.
   *
   * @throws SettingsException if the settings are invalid; lists every problem found
   */
  public static CliSettings loadCli(String toml) throws SettingsException {
    CliSettings.Builder builder = CliSettings.newBuilder();
    List<SettingsProblem> problems = new ArrayList<>();
    parseInto(toml, builder, problems);
    rejectIfAny(problems);
    return builder.build();
  }

  private static void parseInto(
      String toml, Message.Builder builder, List<SettingsProblem> problems)
      throws SettingsException {
    if (toml.length() > MAX_TEXT_CHARS) {
      throw unreadable("the file is longer than " + MAX_TEXT_CHARS + " characters");
    }
    JsonNode tree = parseToml(toml);
    SettingsReader.create(problems).read("", tree, builder);
  }

  private static JsonNode parseToml(String toml) throws SettingsException {
    try {
      return TOML_MAPPER.readTree(toml);
    } catch (JacksonException e) {
      throw unreadable(e.getOriginalMessage() + location(e));
    } catch (RuntimeException | StackOverflowError e) {
      throw unreadable("invalid TOML: " + e);
    }
  }

  private static String location(JacksonException e) {
    return e.getLocation() == null
        ? ""
        : " at line %d, column %d"
            .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
  }

  private static SettingsException unreadable(String reason) {
    return SettingsException.of(
        ImmutableList.of(new SettingsProblem("", ResultCode.SETTINGS_UNREADABLE, reason)));
  }

  private static void rejectIfAny(List<SettingsProblem> problems) throws SettingsException {
    if (!problems.isEmpty()) {
      throw SettingsException.of(problems);
    }
  }
}
