package org.currantslip.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;

/** Creates charts of a uniform size and writes them as PNG files. */
public final class Plots {
  private static final int WIDTH_PX = 900;
  private static final int HEIGHT_PX = 500;

  private Plots() {}

  /** Returns an empty bar chart. */
  public static CategoryChart bars(String title, String horizontalTitle, String verticalTitle) {
    return new CategoryChartBuilder()
        .width(WIDTH_PX)
        .height(HEIGHT_PX)
        .title(title)
        .xAxisTitle(horizontalTitle)
        .yAxisTitle(verticalTitle)
        .build();
  }

  /** Returns an empty line chart. */
  public static XYChart lines(String title, String horizontalTitle, String verticalTitle) {
    return new XYChartBuilder()
        .width(WIDTH_PX)
        .height(HEIGHT_PX)
        .title(title)
        .xAxisTitle(horizontalTitle)
        .yAxisTitle(verticalTitle)
        .build();
  }

  /** Writes a chart to {@code NAME.png} in the output directory, which is created if absent. */
  public static void write(Chart<?, ?> chart, Path outDir, String name) throws IOException {
    Files.createDirectories(outDir);
    BitmapEncoder.saveBitmap(chart, outDir.resolve(name).toString(), BitmapFormat.PNG);
  }
}
