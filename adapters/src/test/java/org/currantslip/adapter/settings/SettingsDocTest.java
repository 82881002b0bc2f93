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

/** Holds docs/SETTINGS.md against the schema. */
final class SettingsDocTest {
  @Test
  void tablesHaveEveryKeyWithItsRangeAndDefault() throws Exception {
    List<String> documented =
        Files.readAllLines(Path.of("..", "docs", "SETTINGS.md")).stream()
            .filter(l -> l.startsWith("| `"))
            .map(SettingsDocTest::generatedColumns)
            .toList();
    List<String> expected =
        Stream.of(
                NodeSettings.getDescriptor(),
                EdgeSettings.getDescriptor(),
                CliSettings.getDescriptor())
            .flatMap(d -> rows("", d))
            .toList();
    assertThat(documented).containsExactlyElementsIn(expected).inOrder();
  }

  /** Drops the last column, which explains the key in words and must not be empty. */
  private static String generatedColumns(String line) {
    List<String> cells = Splitter.on(" | ").splitToList(line.substring(2, line.length() - 2));
    assertThat(cells.get(cells.size() - 1)).isNotEmpty();
    return String.join(" | ", cells.subList(0, cells.size() - 1));
  }

  private static Stream<String> rows(String prefix, Descriptor message) {
    return message.getFields().stream()
        .flatMap(
            f ->
                f.getJavaType() == FieldDescriptor.JavaType.MESSAGE
                    ? rows(
                        prefix + f.getName() + (f.isRepeated() ? "[]." : "."), f.getMessageType())
                    : Stream.of(row(prefix, f)));
  }

  private static String row(String prefix, FieldDescriptor field) {
    Constraint constraint = field.getOptions().getExtension(Options.constraint);
    String type = field.getJavaType() == FieldDescriptor.JavaType.STRING ? "string" : "number";
    return String.join(
        " | ",
        "`" + prefix + field.getName() + "`",
        field.isRepeated() ? "list of " + type + "s" : type,
        limits(constraint),
        standing(constraint));
  }

  private static String limits(Constraint constraint) {
    if (!constraint.getPattern().isEmpty()) {
      return "`" + constraint.getPattern().replace("|", "\\|") + "`";
    }
    String min = constraint.hasMin() ? "" + constraint.getMin() : "";
    String max = constraint.hasMax() ? "" + constraint.getMax() : "";
    return (min + ".." + max + " " + constraint.getUnit()).strip();
  }

  private static String standing(Constraint constraint) {
    if (constraint.getRequired()) {
      return "required";
    }
    return constraint.getFallback().isEmpty() ? "none" : "`" + constraint.getFallback() + "`";
  }
}
