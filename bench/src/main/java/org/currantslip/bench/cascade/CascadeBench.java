package org.currantslip.bench.cascade;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.currantslip.bench.Bench;
import org.currantslip.bench.Plots;
import org.currantslip.bench.ResultTable;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.cascade.RatedCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.knowm.xchart.CategoryChart;

/**
 * Measures the cost of a cascade that meets the quality target, relative to a clairvoyant policy,
 * to a sequential policy with perfect judgement and to the most expensive tier alone.
 */
public final class CascadeBench implements Bench {
  private static final int REQUESTS = 60_000;
  private static final int LEARNING_REQUESTS = 20_000;
  private static final double QUALITY_TARGET = 0.95;
  private static final double WINDOWS_MET_TARGET = 0.95;
  private static final double MAX_COST_TO_CLAIRVOYANT = 1.15;
  private static final double MAX_COST_TO_MOST_EXPENSIVE = 1.02;

  private CascadeBench() {}

  /** Returns the experiment. */
  public static CascadeBench create() {
    return new CascadeBench();
  }

  @Override
  public String name() {
    return "cascade";
  }

  private static ConfigView config() {
    Rule.Origin origin = new Rule.Origin(1, "rule", "bench");
    List<Rule> rules = new ArrayList<>();
    rules.add(new Rule.QualityTarget(origin, "*", "*", QUALITY_TARGET));
    for (int tier = 0; tier < Workload.MODELS.length; tier++) {
      String model = Workload.MODELS[tier];
      rules.add(new Rule.Tier(origin, "*", "*", model, tier + 1));
      rules.add(new Rule.Serve(origin, model, "v1"));
      rules.add(new Rule.Price(origin, model, "v1", 0, (long) (1000 * Workload.COSTS[tier])));
    }
    return new ConfigView(1, RuleSet.of(rules));
  }

  @Override
  public List<ResultTable> run(long seed, Path outDir) throws IOException {
    ResultTable table =
        ResultTable.of(
            "cascade",
            "signal",
            "shape",
            "drift",
            "ratings",
            "policy",
            "good",
            "windows met",
            "after learning",
            "cost/clairvoyant",
            "cost/sequential",
            "cost/dearest",
            "met");
    CategoryChart chart =
        Plots.bars("Cost relative to the most expensive tier alone", "signal and shape", "ratio");
    List<String> labels = new ArrayList<>();
    List<Double> ratios = new ArrayList<>();
    for (ConfidenceModel confidenceModel : ConfidenceModel.values()) {
      for (Workload.Shape shape : Workload.Shape.values()) {
        Scenario scenario = new Scenario(table, confidenceModel, shape, false, "prompt", seed);
        labels.add(confidenceModel + " " + shape);
        ratios.add(scenario.measure("cascade", RatedCascade.create(ManualClock.startingAt(seed))));
        if (confidenceModel == ConfidenceModel.HONEST
            || confidenceModel == ConfidenceModel.RANDOM) {
          scenario.measure("dearest", Baselines.mostExpensiveTier());
          scenario.measure("fixed threshold", Baselines.fixedThreshold());
          scenario.measure("random tier", Baselines.randomTier(seed));
        }
      }
    }
    for (String ratings : new String[] {"late half", "out"}) {
      for (boolean drift : new boolean[] {false, true}) {
        for (ConfidenceModel confidenceModel :
            new ConfidenceModel[] {ConfidenceModel.HONEST, ConfidenceModel.RANDOM}) {
          Scenario scenario =
              new Scenario(table, confidenceModel, Workload.Shape.EASY, drift, ratings, seed);
          scenario.measure("cascade", RatedCascade.create(ManualClock.startingAt(seed)));
        }
      }
    }
    chart.addSeries("cascade", labels, ratios);
    chart.getStyler().setXAxisLabelRotation(60);
    Plots.write(chart, outDir, "cascade");
    return List.of(table);
  }

  /** A workload and its rating schedule; measuring a policy adds a row to the table. */
  private record Scenario(
      ResultTable table,
      ConfidenceModel confidenceModel,
      Workload.Shape shape,
      boolean drift,
      String ratings,
      long seed) {
    /**
     * Runs a policy, adds its row and returns its cost relative to the most expensive tier alone.
     */
    double measure(String policyName, CascadePolicy policy) {
      List<Workload.Item> items = Workload.generate(shape, confidenceModel, drift, REQUESTS, seed);
      CascadeRun.Result result =
          CascadeRun.run(policy, config(), items, ratingSchedule(), seed + 1);
      int good = result.countGood(LEARNING_REQUESTS, REQUESTS);
      double cost = result.costFrom(LEARNING_REQUESTS);
      double clairvoyant =
          CascadeRun.clairvoyantCost(items.subList(LEARNING_REQUESTS, REQUESTS), good);
      double sequential =
          CascadeRun.sequentialCost(items.subList(LEARNING_REQUESTS, REQUESTS), good);
      int measuredRequests = REQUESTS - LEARNING_REQUESTS;
      double mostExpensiveCost = measuredRequests * Workload.COSTS[Workload.COSTS.length - 1];
      double windowsMetShare = result.windowsMet(LEARNING_REQUESTS, QUALITY_TARGET);
      boolean costMet =
          confidenceModel == ConfidenceModel.HONEST && ratings.equals("prompt")
              ? cost <= MAX_COST_TO_CLAIRVOYANT * clairvoyant
              : cost <= MAX_COST_TO_MOST_EXPENSIVE * mostExpensiveCost;
      table.add(
          confidenceModel,
          shape,
          drift,
          ratings,
          policyName,
          (double) good / measuredRequests,
          result.windowsMet(0, QUALITY_TARGET),
          windowsMetShare,
          cost / clairvoyant,
          cost / sequential,
          cost / mostExpensiveCost,
          windowsMetShare >= WINDOWS_MET_TARGET && costMet ? "yes" : "no");
      return cost / mostExpensiveCost;
    }

    private CascadeRun.RatingSchedule ratingSchedule() {
      return switch (ratings) {
        case "late half" -> new CascadeRun.RatingSchedule(2000, 0.5, REQUESTS);
        case "out" -> new CascadeRun.RatingSchedule(100, 1, LEARNING_REQUESTS);
        default -> new CascadeRun.RatingSchedule(100, 1, REQUESTS);
      };
    }
  }
}
