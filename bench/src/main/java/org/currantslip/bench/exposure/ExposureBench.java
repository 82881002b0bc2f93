package org.currantslip.bench.exposure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.currantslip.bench.Bench;
import org.currantslip.bench.Plots;
import org.currantslip.bench.ResultTable;
import org.knowm.xchart.CategoryChart;

/** Bad answers given before a bad version is stopped, and stops of good versions. */
public final class ExposureBench implements Bench {
  private static final int RUNS = 100;
  private static final int FALSE_STOP_STAGES = 40_000;
  private static final double FALSE_STOP_TARGET = 0.001;
  private static final double BOUND_FACTOR = 1.5;
  private static final int STAGE_REQUESTS = 200;
  private static final int SERVICE_REQUESTS = 10_000;
  private static final int SERVICE_STAGES = 6_000;

  private ExposureBench() {}

  /** Returns the experiment. */
  public static ExposureBench create() {
    return new ExposureBench();
  }

  @Override
  public String name() {
    return "exposure";
  }

  private static List<Scenario> scenarios() {
    List<Scenario> all = new ArrayList<>();
    for (double badRate : new double[] {0.08, 0.20, 0.60}) {
      all.add(Scenario.stage(badRate, 1_000, 1));
      all.add(Scenario.stage(badRate, 10_000, 1));
      all.add(Scenario.stage(badRate, 60_000, 1));
      all.add(Scenario.stage(badRate, 10_000, 0.5));
      all.add(Scenario.service(badRate, 1_000, 1));
      all.add(Scenario.service(badRate, 60_000, 1));
    }
    all.add(Scenario.errors(false, 0.20));
    all.add(Scenario.errors(false, 0.60));
    all.add(Scenario.errors(true, 0.20));
    return all;
  }

  @Override
  public List<ResultTable> run(long seed, Path outDir) throws IOException {
    ResultTable stops =
        ResultTable.of(
            "exposure",
            "case",
            "bad rate",
            "delay ms",
            "coverage",
            "bound",
            "known-start bound",
            "target",
            "seen bad",
            "ratio",
            "p95 seen",
            "unseen bad",
            "answers",
            "stopped",
            "baseline bad",
            "baseline stopped",
            "met");
    CategoryChart chart =
        Plots.bars("Bad answers before the stop", "case", "bad answers, mean of runs");
    List<String> names = new ArrayList<>();
    List<Double> bounds = new ArrayList<>();
    List<Double> ours = new ArrayList<>();
    List<Double> baselines = new ArrayList<>();
    for (Scenario s : scenarios()) {
      Summary own = summary(s, false, seed);
      Summary baseline = summary(s, true, seed);
      double rate = s.byErrors() ? s.errorRate() : s.badRate();
      double base = s.byErrors() ? Scenario.GOOD_ERROR_RATE : Scenario.GOOD_BAD_RATE;
      double coverage = s.byErrors() ? 1 : s.coverage();
      double falseStop = s.inService() ? FALSE_STOP_TARGET / SERVICE_REQUESTS : FALSE_STOP_TARGET;
      double bound = WaldBound.samples(base, rate, falseStop) * rate / coverage;
      double knownStart = WaldBound.samples(base, rate, FALSE_STOP_TARGET) * rate / coverage;
      double seen = own.bad() - own.unseen();
      stops.add(
          s.name(),
          rate,
          s.ratingDelayMs(),
          coverage,
          bound,
          knownStart,
          BOUND_FACTOR * bound,
          seen,
          seen / bound,
          own.p95Seen(),
          own.unseen(),
          own.answers(),
          own.stopped(),
          baseline.bad(),
          baseline.stopped(),
          seen <= BOUND_FACTOR * bound ? "yes" : "no");
      names.add(
          String.format(
                  Locale.ROOT, "%s %.0f%% %ds", s.name(), 100 * rate, s.ratingDelayMs() / 1000)
              + (s.coverage() < 1 ? " half" : ""));
      bounds.add(Math.max(1, bound));
      ours.add(Math.max(1, own.bad()));
      baselines.add(Math.max(1, baseline.bad()));
    }
    chart.addSeries("Wald bound", names, bounds);
    chart.addSeries("sequential test", names, ours);
    chart.addSeries("window on one node", names, baselines);
    chart.getStyler().setXAxisLabelRotation(60);
    chart.getStyler().setYAxisLogarithmic(true);
    chart.getStyler().setYAxisMin(1.0);
    Plots.write(chart, outDir, "exposure");
    return List.of(stops, falseStops(seed));
  }

  private record Summary(
      double bad, double unseen, double answers, double stopped, double p95Seen) {}

  private static Summary summary(Scenario scenario, boolean baseline, long seed) {
    List<ExposureRun.Result> runs =
        IntStream.range(0, RUNS)
            .parallel()
            .mapToObj(i -> ExposureRun.of(scenario, baseline, seed * 1_000_003 + i))
            .toList();
    double[] seen = runs.stream().mapToDouble(r -> r.bad() - r.unseenBad()).sorted().toArray();
    return new Summary(
        runs.stream().mapToInt(ExposureRun.Result::bad).average().orElse(0),
        runs.stream().mapToInt(ExposureRun.Result::unseenBad).average().orElse(0),
        runs.stream().mapToInt(ExposureRun.Result::answers).average().orElse(0),
        runs.stream().mapToInt(r -> r.stopped() ? 1 : 0).average().orElse(0),
        seen[(int) (0.95 * seen.length)]);
  }

  private static ResultTable falseStops(long seed) {
    ResultTable table =
        ResultTable.of(
            "false stops",
            "case",
            "stages",
            "requests",
            "stops",
            "share",
            "upper 97.5%",
            "target",
            "met");
    add(table, "stage", FALSE_STOP_STAGES, false, STAGE_REQUESTS, seed);
    add(table, "service", SERVICE_STAGES, true, SERVICE_REQUESTS, seed);
    return table;
  }

  private static void add(
      ResultTable table, String name, int stages, boolean inService, int requests, long seed) {
    int stops = FalseStops.count(stages, inService, requests, seed);
    double upper = FalseStops.upperBound(stops, stages);
    table.add(
        name,
        stages,
        requests,
        stops,
        (double) stops / stages,
        upper,
        FALSE_STOP_TARGET,
        upper <= FALSE_STOP_TARGET ? "yes" : "no");
  }
}
