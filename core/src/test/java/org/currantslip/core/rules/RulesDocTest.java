package org.currantslip.core.rules;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Holds docs/RULES.md against the parser. */
final class RulesDocTest {
  @Test
  void tableHasEveryFormWithItsFields() throws Exception {
    List<String> documented =
        Files.readAllLines(Path.of("..", "docs", "RULES.md")).stream()
            .filter(l -> l.startsWith("| `"))
            .map(l -> l.substring(l.indexOf('`') + 1, l.indexOf('`', l.indexOf('`') + 1)))
            .toList();
    List<String> expected =
        Arrays.stream(RuleForm.values())
            .map(f -> f.verb() + " " + String.join(" ", f.fields().keySet()))
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
