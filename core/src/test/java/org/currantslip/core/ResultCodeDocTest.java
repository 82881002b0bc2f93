package org.currantslip.core;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.currantslip.core.common.ResultCode;
import org.junit.jupiter.api.Test;

/** Checks that docs/RESULT_CODES.md and the result codes in the code agree. */
final class ResultCodeDocTest {
  private static final int COLUMNS = 6;

  @Test
  void tableListsEveryCodeOnceWithNameAndStatus() throws Exception {
    List<List<String>> rows =
        Files.readAllLines(Path.of("..", "docs", "RESULT_CODES.md")).stream()
            .filter(l -> l.matches("\\| \\d+ \\|.*"))
            .map(l -> l.substring(1, l.length() - 1))
            .map(l -> Splitter.on('|').trimResults().splitToList(l))
            .toList();
    List<String> expected =
        Arrays.stream(ResultCode.values())
            .map(c -> c.number() + " " + c.name() + " " + c.httpStatus())
            .toList();
    assertThat(rows.stream().map(r -> r.get(0) + " " + r.get(1) + " " + r.get(2)).toList())
        .containsExactlyElementsIn(expected);
    rows.forEach(
        r -> {
          assertThat(r).hasSize(COLUMNS);
          assertThat(r).doesNotContain("");
        });
  }
}
