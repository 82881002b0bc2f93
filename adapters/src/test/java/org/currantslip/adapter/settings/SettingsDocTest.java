package org.currantslip.adapter.settings;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.currantslip.schema.CliSettings;
import org.currantslip.schema.Constraint;
import org.currantslip.schema.EdgeSettings;
import org.currantslip.schema.NodeSettings;
import org.currantslip.schema.Options;
import org.junit.jupiter.api.Test;

/** Checks that docs/SETTINGS.md matches the schema. */
final class SettingsDocTest {
  @Test
  void tablesListEveryKeyWithItsRangeAndDefault() throws Exception {
    List<String> documented =
        Files.readAllLines(Path.of("..", "docs", "SETTINGS.md")).stream()
            .filter(line -> line.startsWith("| `"))
            .map(SettingsDocTest::generatedColumns)
            .toList();
    List<String> expected =
        Stream.of(
                NodeSettings.getDescriptor(),
                EdgeSettings.getDescriptor(),
                CliSettings.getDescriptor())
            .flatMap(descriptor -> rows("", descriptor))
            .toList();
    assertThat(documented).containsExactlyElementsIn(expected).inOrder();
  }

  /** Drops the last column, a description that must not be empty. */
  private static String generatedColumns(String line) {
    List<String> cells = Splitter.on(" | ").splitToList(line.substring(2, line.length() - 2));
    assertThat(cells.get(cells.size() - 1)).isNotEmpty();
    return String.join(" | ", cells.subList(0, cells.size() - 1));
  }

  private static Stream<String> rows(String prefix, Descriptor message) {
    return message.getFields().stream()
        .flatMap(
            field ->
                field.getJavaType() == FieldDescriptor.JavaType.MESSAGE
                    ? rows(
                        prefix + field.getName() + (field.isRepeated() ? "[]." : "."),
                        field.getMessageType())
                    : Stream.of(row(prefix, field)));
  }

  private static String row(String prefix, FieldDescriptor field) {
    Constraint constraint = field.getOptions().getExtension(Options.constraint);
    String type = field.getJavaType() == FieldDescriptor.JavaType.STRING ? "string" : "number";
    return String.join(
        " | ",
        "`" + prefix + field.getName() + "`",
        field.isRepeated() ? "list of " + type + "s" : type,
        rangeColumn(constraint),
        defaultColumn(constraint));
  }

  private static String rangeColumn(Constraint constraint) {
    if (!constraint.getPattern().isEmpty()) {
      return "`" + constraint.getPattern().replace("|", "\\|") + "`";
    }
    String min = constraint.hasMin() ? "" + constraint.getMin() : "";
    String max = constraint.hasMax() ? "" + constraint.getMax() : "";
    return (min + ".." + max + " " + constraint.getUnit()).strip();
  }

  private static String defaultColumn(Constraint constraint) {
    if (constraint.getRequired()) {
      return "required";
    }
    return constraint.getFallback().isEmpty() ? "none" : "`" + constraint.getFallback() + "`";
  }
}
