package org.currantslip.node;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CurrantslipdMainTest {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_INVALID_SETTINGS = 3;

  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... args) {
    return CurrantslipdMain.run(args, new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private String errorOutput() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Test
  void rejectsInvalidCommandLines() {
    assertThat(run()).isEqualTo(EXIT_USAGE);
    assertThat(run("--settings")).isEqualTo(EXIT_USAGE);
    assertThat(run("--other", "x")).isEqualTo(EXIT_USAGE);
  }

  @Test
  void reportsUnreadableFiles() {
    assertThat(run("--settings", "no/such/file.toml")).isEqualTo(EXIT_INVALID_SETTINGS);
    assertThat(errorOutput()).contains("9004 cannot read");
  }

  @Test
  void reportsAllSettingsProblemsTogether(@TempDir Path dir) throws IOException {
    Path settingsFile = dir.resolve("node.toml");
    String sample = Files.readString(Path.of("..", "samples", "instituto", "node.toml"));
    Files.writeString(
        settingsFile,
        sample
            .replace("heartbeat_ms = 500", "heartbeat_ms = 1\nheart_ms = 500")
            .replace("port = 8101", "port = \"8101\""));

    assertThat(run("--settings", settingsFile.toString())).isEqualTo(EXIT_INVALID_SETTINGS);
    assertThat(errorOutput()).contains("timeouts.heartbeat_ms");
    assertThat(errorOutput()).contains("timeouts.heart_ms");
    assertThat(errorOutput()).contains("caller.port");
  }
}
