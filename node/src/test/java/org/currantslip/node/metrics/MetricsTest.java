package org.currantslip.node.metrics;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.RequestOutcome;
import org.junit.jupiter.api.Test;

final class MetricsTest {
  private static final Path METRICS_TABLE = Path.of("..", "docs", "METRICS.md");

  private static String tableRow(Metric metric) {
    return String.format(
        "| %s | %s | %s| %s|",
        metric.meterName(),
        metric.kind().name().toLowerCase(Locale.ROOT),
        metric.unit().isEmpty() ? "" : metric.unit() + " ",
        metric.labels().isEmpty() ? "" : String.join(", ", metric.labels()) + " ");
  }

  @Test
  void documentationListsExactlyAllMetrics() throws IOException {
    List<String> rows =
        Files.readAllLines(METRICS_TABLE).stream()
            .filter(line -> line.startsWith("| currantslip."))
            .map(line -> line.substring(0, line.lastIndexOf('|', line.length() - 2) + 1))
            .toList();

    assertThat(rows)
        .containsExactlyElementsIn(
            Arrays.stream(Metric.values()).map(MetricsTest::tableRow).toList());
  }

  @Test
  void exportsEveryMetricAfterRequest() {
    NodeMetrics metrics = NodeMetrics.create();
    metrics.record(
        new RequestOutcome("crew", "t", "m", "v", "", ResultCode.OK, Ran.YES, 200, 5, 9, 7, 1));
    metrics.publish(new NodeGauges(1, 2, 3, 4, 5, 6, 7, 8, 9_000, 10));

    String page = metrics.page();

    for (Metric metric : Metric.values()) {
      assertThat(page).contains(metric.meterName().replace('.', '_'));
    }
    assertThat(page).contains("currantslip_config_age_seconds 9.0");
    assertThat(page).contains("currantslip_quarantine_parts 10.0");
    assertThat(page).contains("currantslip_requests_total{code=\"0\",kind=\"model\",ran=\"yes\"}");
    assertThat(page).doesNotContain("crew");
    metrics.close();
  }
}
