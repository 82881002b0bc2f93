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

/** Writes the burn report as one HTML page with its plots inside. */
final class BurnPage {
  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 360;
  private static final int MAX_SERIES = 12;
  private static final List<Double> PERCENTILES =
      List.of(1.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.9);
  private static final String STYLE =
      "body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}"
          + "td:first-child,td:nth-child(2){text-align:left}tr.bad td{background:#fdd}";

  private BurnPage() {}

  /** Returns the page; the cells are those of the text report. */
  static String of(BurnReply reply, List<List<String>> cells) throws IOException {
    StringBuilder page =
        new StringBuilder("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">");
    page.append("<title>Service-level burn</title><style>").append(STYLE).append("</style>");
    page.append("<h1>Service-level burn</h1>");
    page.append(
        String.format(
            Locale.ROOT,
            "<p>Answered by node %s, view %d ms old, configuration %d.</p>",
            escape(reply.getView().getNode()),
            reply.getView().getViewAgeMs(),
            reply.getView().getConfigVersion()));
    page.append("<table>").append(line("th", cells.get(0), false));
    for (int i = 1; i < cells.size(); i++) {
      page.append(line("td", cells.get(i), isOverspent(reply.getRow(i - 1))));
    }
    page.append("</table>");
    if (reply.getRowCount() > 0) {
      page.append(image("Burn rate by window", burnRates(reply)));
      page.append(image("Time to the first byte by percentile", latencies(reply)));
    }
    return page.append("</html>\n").toString();
  }

  private static boolean isOverspent(BurnRow row) {
    return row.getTarget() > 0 && row.getBudgetLeft() < 0;
  }

  private static String line(String tag, List<String> cells, boolean bad) {
    return cells.stream()
        .map(c -> "<" + tag + ">" + escape(c) + "</" + tag + ">")
        .collect(Collectors.joining("", bad ? "<tr class=\"bad\">" : "<tr>", "</tr>"));
  }

  private static CategoryChart burnRates(BurnReply reply) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .yAxisTitle("budget spent at this multiple of the allowed rate")
            .build();
    reply.getRowList().stream()
        .limit(MAX_SERIES)
        .forEach(
            r ->
                chart.addSeries(
                    title(r),
                    BurnCommand.WINDOW_NAMES,
                    r.getWindowList().stream().map(w -> w.getBurnRate()).toList()));
    return chart;
  }

  private static XYChart latencies(BurnReply reply) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .xAxisTitle("percentile")
            .yAxisTitle("ms")
            .build();
    reply.getRowList().stream()
        .limit(MAX_SERIES)
        .forEach(r -> chart.addSeries(title(r), PERCENTILES, percentiles(r)));
    return chart;
  }

  private static List<Double> percentiles(BurnRow row) {
    Histogram histogram = histogram(row.getLatencyHistogram());
    return PERCENTILES.stream().map(p -> (double) histogram.getValueAtPercentile(p)).toList();
  }

  private static Histogram histogram(ByteString bytes) {
    if (bytes.isEmpty()) {
      return new Histogram(2);
    }
    try {
      return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes.toByteArray()), 0);
    } catch (DataFormatException e) {
      throw CliException.of(ResultCode.ADMIN_BODY_MALFORMED, "the answer has a broken histogram");
    }
  }

  private static String image(String title, Chart<?, ?> chart) throws IOException {
    byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    return "<h2>%s</h2><img alt=\"%s\" src=\"data:image/png;base64,%s\">"
        .formatted(title, title, Base64.getEncoder().encodeToString(png));
  }

  private static String title(BurnRow row) {
    return row.getAccount() + " " + row.getTask();
  }

  private static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }
}
