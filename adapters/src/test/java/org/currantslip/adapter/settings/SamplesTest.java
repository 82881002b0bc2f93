package org.currantslip.adapter.settings;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.currantslip.core.rules.RulesParser;
import org.currantslip.schema.NodeSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the sample settings and rules for operators are valid. */
final class SamplesTest {
  @ParameterizedTest
  @ValueSource(strings = {"instituto", "marais-ramdeen"})
  void samplesAreValid(String deployment) throws Exception {
    Path directory = Path.of("..", "samples", deployment);
    assertThat(RulesParser.parse(Files.readString(directory.resolve("rules.txt"))).rules())
        .isNotEmpty();
    NodeSettings node = SettingsLoader.loadNode(Files.readString(directory.resolve("node.toml")));
    assertThat(node.getOperatorList()).isNotEmpty();
    assertThat(node.getAccountList()).isNotEmpty();
    assertThat(
            SettingsLoader.loadCli(Files.readString(directory.resolve("cli.toml"))).getAdminList())
        .isNotEmpty();
  }
}
