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

/**
 * Measures how many bad answers a bad version gives before it is stopped, relative to Wald's bound,
 * and how often a good version is stopped.
 */
public final class ExposureBench implements Bench {
  private static final int RUNS = 100;
  private static final int FALSE_STOP_STAGES = 40_000;
  private static final double MAX_FALSE_STOP_RATE = 0.001;
  private static final double MAX_RATIO_TO_BOUND = 1.5;
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
    List<Scenario> scenarios = new ArrayList<>();
    for (double badRate : new double[] {0.08, 0.20, 0.60}) {
      scenarios.add(Scenario.stage(badRate, 1_000, 1));
      scenarios.add(Scenario.stage(badRate, 10_000, 1));
      scenarios.add(Scenario.stage(badRate, 60_000, 1));
      scenarios.add(Scenario.stage(badRate, 10_000, 0.5));
      scenarios.add(Scenario.service(badRate, 1_000, 1));
      scenarios.add(Scenario.service(badRate, 60_000, 1));
    }
    scenarios.add(Scenario.errors(false, 0.20));
    scenarios.add(Scenario.errors(false, 0.60));
    scenarios.add(Scenario.errors(true, 0.20));
    return scenarios;
  }

  @Override
  public List<ResultTable> run(long seed, Path outDir) throws IOException {
    ResultTable exposure =
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
    List<String> labels = new ArrayList<>();
    List<Double> bounds = new ArrayList<>();
    List<Double> sequentialMeans = new ArrayList<>();
    List<Double> baselineMeans = new ArrayList<>();
    for (Scenario scenario : scenarios()) {
      Summary sequential = summarize(scenario, false, seed);
      Summary baseline = summarize(scenario, true, seed);
      double badOutcomeRate =
          scenario.isErrorScenario() ? scenario.errorRate() : scenario.badRate();
      double baseRate =
          scenario.isErrorScenario() ? Scenario.HEALTHY_ERROR_RATE : Scenario.HEALTHY_BAD_RATE;
      double coverage = scenario.isErrorScenario() ? 1 : scenario.coverage();
      double falseStopRate =
          scenario.inService() ? MAX_FALSE_STOP_RATE / SERVICE_REQUESTS : MAX_FALSE_STOP_RATE;
      double bound =
          WaldBound.expectedSamples(baseRate, badOutcomeRate, falseStopRate)
              * badOutcomeRate
              / coverage;
      double knownStartBound =
          WaldBound.expectedSamples(baseRate, badOutcomeRate, MAX_FALSE_STOP_RATE)
              * badOutcomeRate
              / coverage;
      double seenBad = sequential.bad() - sequential.unseenBad();
      exposure.add(
          scenario.name(),
          badOutcomeRate,
          scenario.ratingDelayMs(),
          coverage,
          bound,
          knownStartBound,
          MAX_RATIO_TO_BOUND * bound,
          seenBad,
          seenBad / bound,
          sequential.p95SeenBad(),
          sequential.unseenBad(),
          sequential.answers(),
          sequential.stopped(),
          baseline.bad(),
          baseline.stopped(),
          seenBad <= MAX_RATIO_TO_BOUND * bound ? "yes" : "no");
      labels.add(
          String.format(
                  Locale.ROOT,
                  "%s %.0f%% %ds",
                  scenario.name(),
                  100 * badOutcomeRate,
                  scenario.ratingDelayMs() / 1000)
              + (scenario.coverage() < 1 ? " half" : ""));
      bounds.add(Math.max(1, bound));
      sequentialMeans.add(Math.max(1, sequential.bad()));
      baselineMeans.add(Math.max(1, baseline.bad()));
    }
    chart.addSeries("Wald bound", labels, bounds);
    chart.addSeries("sequential test", labels, sequentialMeans);
    chart.addSeries("fixed window per node", labels, baselineMeans);
    chart.getStyler().setXAxisLabelRotation(60);
    chart.getStyler().setYAxisLogarithmic(true);
    chart.getStyler().setYAxisMin(1.0);
    Plots.write(chart, outDir, "exposure");
    return List.of(exposure, falseStops(seed));
  }

  private record Summary(
      double bad, double unseenBad, double answers, double stopped, double p95SeenBad) {}

  private static Summary summarize(Scenario scenario, boolean baseline, long seed) {
    List<ExposureRun.Result> runs =
        IntStream.range(0, RUNS)
            .parallel()
            .mapToObj(i -> ExposureRun.simulate(scenario, baseline, seed * 1_000_003 + i))
            .toList();
    double[] seenBad = runs.stream().mapToDouble(r -> r.bad() - r.unseenBad()).sorted().toArray();
    return new Summary(
        runs.stream().mapToInt(ExposureRun.Result::bad).average().orElse(0),
        runs.stream().mapToInt(ExposureRun.Result::unseenBad).average().orElse(0),
        runs.stream().mapToInt(ExposureRun.Result::answers).average().orElse(0),
        runs.stream().mapToInt(r -> r.stopped() ? 1 : 0).average().orElse(0),
        seenBad[(int) (0.95 * seenBad.length)]);
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
    addFalseStops(table, "stage", FALSE_STOP_STAGES, false, STAGE_REQUESTS, seed);
    addFalseStops(table, "service", SERVICE_STAGES, true, SERVICE_REQUESTS, seed);
    return table;
  }

  private static void addFalseStops(
      ResultTable table, String name, int stages, boolean inService, int stageRequests, long seed) {
    int stops = FalseStops.count(stages, inService, stageRequests, seed);
    double upperLimit = FalseStops.upperBound(stops, stages);
    table.add(
        name,
        stages,
        stageRequests,
        stops,
        (double) stops / stages,
        upperLimit,
        MAX_FALSE_STOP_RATE,
        upperLimit <= MAX_FALSE_STOP_RATE ? "yes" : "no");
  }
}
