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

/** Cost of a cascade at the quality target, against a clairvoyant. */
public final class CascadeBench implements Bench {
  private static final int REQUESTS = 60_000;
  private static final int LEARNING_REQUESTS = 20_000;
  private static final double TARGET = 0.95;
  private static final double WINDOWS_TARGET = 0.95;
  private static final double COST_TARGET = 1.15;
  private static final double DEAREST_TARGET = 1.02;

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
    rules.add(new Rule.QualityTarget(origin, "*", "*", TARGET));
    for (int t = 0; t < Workload.MODELS.length; t++) {
      String model = Workload.MODELS[t];
      rules.add(new Rule.Tier(origin, "*", "*", model, t + 1));
      rules.add(new Rule.Serve(origin, model, "v1"));
      rules.add(new Rule.Price(origin, model, "v1", 0, (long) (1000 * Workload.COSTS[t])));
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
        Plots.bars("Cost against always the dearest tier", "signal and shape", "ratio");
    List<String> names = new ArrayList<>();
    List<Double> ratios = new ArrayList<>();
    for (Honesty honesty : Honesty.values()) {
      for (Workload.Shape shape : Workload.Shape.values()) {
        Line line = new Line(table, honesty, shape, false, "prompt", seed);
        names.add(honesty + " " + shape);
        ratios.add(line.add("cascade", RatedCascade.create(ManualClock.startingAt(seed))));
        if (honesty == Honesty.HONEST || honesty == Honesty.RANDOM) {
          line.add("dearest", Baselines.dearest());
          line.add("fixed threshold", Baselines.fixedThreshold());
          line.add("random tier", Baselines.randomTier(seed));
        }
      }
    }
    for (String ratings : new String[] {"late half", "out"}) {
      for (boolean drift : new boolean[] {false, true}) {
        for (Honesty honesty : new Honesty[] {Honesty.HONEST, Honesty.RANDOM}) {
          Line line = new Line(table, honesty, Workload.Shape.EASY, drift, ratings, seed);
          line.add("cascade", RatedCascade.create(ManualClock.startingAt(seed)));
        }
      }
    }
    chart.addSeries("cascade", names, ratios);
    chart.getStyler().setXAxisLabelRotation(60);
    Plots.write(chart, outDir, "cascade");
    return List.of(table);
  }

  private record Line(
      ResultTable table,
      Honesty honesty,
      Workload.Shape shape,
      boolean drift,
      String ratings,
      long seed) {
    double add(String name, CascadePolicy policy) {
      List<Workload.Item> items = Workload.of(shape, honesty, drift, REQUESTS, seed);
      CascadeRun.Result r = CascadeRun.of(policy, config(), items, schedule(), seed + 1);
      int good = r.goodIn(LEARNING_REQUESTS, REQUESTS);
      double cost = r.costFrom(LEARNING_REQUESTS);
      double clairvoyant =
          CascadeRun.clairvoyantCost(items.subList(LEARNING_REQUESTS, REQUESTS), good);
      double sequential =
          CascadeRun.sequentialCost(items.subList(LEARNING_REQUESTS, REQUESTS), good);
      int learnt = REQUESTS - LEARNING_REQUESTS;
      double dearest = learnt * Workload.COSTS[Workload.COSTS.length - 1];
      double windows = r.windowsMet(LEARNING_REQUESTS, TARGET);
      boolean cheap =
          honesty == Honesty.HONEST && ratings.equals("prompt")
              ? cost <= COST_TARGET * clairvoyant
              : cost <= DEAREST_TARGET * dearest;
      table.add(
          honesty,
          shape,
          drift,
          ratings,
          name,
          (double) good / learnt,
          r.windowsMet(0, TARGET),
          windows,
          cost / clairvoyant,
          cost / sequential,
          cost / dearest,
          windows >= WINDOWS_TARGET && cheap ? "yes" : "no");
      return cost / dearest;
    }

    private CascadeRun.Ratings schedule() {
      return switch (ratings) {
        case "late half" -> new CascadeRun.Ratings(2000, 0.5, REQUESTS);
        case "out" -> new CascadeRun.Ratings(100, 1, LEARNING_REQUESTS);
        default -> new CascadeRun.Ratings(100, 1, REQUESTS);
      };
    }
  }
}
