package org.currantslip.cli;

import com.google.common.html.HtmlEscapers;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.currantslip.core.common.ResultCode;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnRow;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;

/** Renders the burn report as a self-contained HTML page with embedded charts. */
final class BurnHtmlReport {
  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 360;
  private static final int MAX_SERIES = 12;
  private static final List<Double> PERCENTILES =
      List.of(1.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9);
  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}"
          + "td:first-child,td:nth-child(2){text-align:left}tr.bad td{background:#fdd}";

  private BurnHtmlReport() {}

  /** Returns the HTML page; {@code cells} are the table rows of the text report, header first. */
  static String of(BurnReply reply, List<List<String>> cells) throws IOException {
    StringBuilder page =
        new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">");
    page.append("<title>Error budget burn</title><style>").append(STYLE).append("</style>");
    page.append("<h1>Error budget burn</h1>");
    page.append(
        String.format(
            Locale.ROOT,
            "<p>Reported by node %s, view %d ms old, configuration %d.</p>",
            escape(reply.getView().getNode()),
            reply.getView().getViewAgeMs(),
            reply.getView().getConfigVersion()));
    page.append("<table>").append(tableRow("th", cells.get(0), false));
    for (int i = 1; i < cells.size(); i++) {
      page.append(tableRow("td", cells.get(i), isBudgetExhausted(reply.getRow(i - 1))));
    }
    page.append("</table>");
    if (reply.getRowCount() > 0) {
      page.append(chartImage("Burn rate by window", burnRateChart(reply)));
      page.append(chartImage("Time to the first byte by percentile", latencyChart(reply)));
    }
    return page.append("</html>\n").toString();
  }

  private static boolean isBudgetExhausted(BurnRow row) {
    return row.getTarget() > 0 && row.getBudgetLeft() < 0;
  }

  private static String tableRow(String tag, List<String> cells, boolean exhausted) {
    return cells.stream()
        .map(c -> "<" + tag + ">" + escape(c) + "</" + tag + ">")
        .collect(Collectors.joining("", exhausted ? "<tr class=\"bad\">" : "<tr>", "</tr>"));
  }

  private static CategoryChart burnRateChart(BurnReply reply) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .yAxisTitle("burn rate (multiple of the allowed rate)")
            .build();
    reply.getRowList().stream()
        .limit(MAX_SERIES)
        .forEach(
            r ->
                chart.addSeries(
                    seriesName(r),
                    BurnCommand.WINDOW_NAMES,
                    r.getWindowList().stream().map(w -> w.getBurnRate()).toList()));
    return chart;
  }

  private static XYChart latencyChart(BurnReply reply) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .xAxisTitle("percentile")
            .yAxisTitle("ms")
            .build();
    reply.getRowList().stream()
        .limit(MAX_SERIES)
        .forEach(r -> chart.addSeries(seriesName(r), PERCENTILES, percentiles(r)));
    return chart;
  }

  private static List<Double> percentiles(BurnRow row) {
    Histogram histogram = decodeHistogram(row.getLatencyHistogram());
    return PERCENTILES.stream().map(p -> (double) histogram.getValueAtPercentile(p)).toList();
  }

  private static Histogram decodeHistogram(ByteString bytes) {
    if (bytes.isEmpty()) {
      return new Histogram(2);
    }
    try {
      return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes.toByteArray()), 0);
    } catch (DataFormatException e) {
      throw CliException.of(
          ResultCode.ADMIN_BODY_MALFORMED, "the response contains a malformed latency histogram");
    }
  }

  private static String chartImage(String title, Chart<?, ?> chart) throws IOException {
    byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    return "<h2>%s</h2><img alt=\"%s\" src=\"data:image/png;base64,%s\">"
        .formatted(title, title, Base64.getEncoder().encodeToString(png));
  }

  private static String seriesName(BurnRow row) {
    return row.getAccount() + " " + row.getTask();
  }

  private static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }
}
