package org.currantslip.core.rules;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks docs/RULES.md against the parser. */
final class RulesDocTest {
  @Test
  void tableHasEveryFormWithItsFields() throws Exception {
    List<String> documented =
        Files.readAllLines(Path.of("..", "docs", "RULES.md")).stream()
            .filter(line -> line.startsWith("| `"))
            .map(
                line ->
                    line.substring(line.indexOf('`') + 1, line.indexOf('`', line.indexOf('`') + 1)))
            .toList();
    List<String> expected =
        Arrays.stream(RuleForm.values())
            .map(form -> form.verb() + " " + String.join(" ", form.fields().keySet()))
            .toList();
    assertThat(documented).containsExactlyElementsIn(expected).inOrder();
  }

  @Test
  void exampleIsValid() throws Exception {
    String doc = Files.readString(Path.of("..", "docs", "RULES.md"));
    String example = doc.substring(doc.indexOf("```\n") + 4, doc.lastIndexOf("```"));
    assertThat(RulesParser.parse(example).rules()).isNotEmpty();
  }
}
