package org.currantslip.bench.cascade;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.commons.math3.distribution.BetaDistribution;

/** Generates requests of random difficulty, with the answer quality of every tier. */
final class Workload {
  static final double[] COSTS = {1, 6, 30};
  static final String[] MODELS = {"small", "middle", "large"};
  private static final double[] CAPABILITY = {0.45, 0.72, 1.0};
  private static final double CAPABILITY_NOISE = 0.02;
  private static final double DRIFT_DIFFICULTY = 0.08;

  /** Beta distribution of the difficulty of the requests of a task. */
  enum Shape {
    EASY(1.2, 3),
    EVEN(1, 1),
    SPLIT(0.5, 0.6),
    HARD(2.5, 1.8);

    private final double alpha;
    private final double beta;

    Shape(double alpha, double beta) {
      this.alpha = alpha;
      this.beta = beta;
    }
  }

  /**
   * A request and the outcome on each tier.
   *
   * @param good whether each tier answers it well
   * @param confidence confidence that each tier reports for its answer
   */
  record Item(boolean[] good, double[] confidence) {
    /** Returns the cheapest tier that answers well, or the number of tiers if none does. */
    int cheapestGoodTier() {
      int tier = 0;
      while (tier < good.length && !good[tier]) {
        tier++;
      }
      return tier;
    }
  }

  private Workload() {}

  static List<Item> generate(
      Shape shape, ConfidenceModel confidenceModel, boolean drift, int count, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    BetaDistribution distribution = new BetaDistribution(null, shape.alpha, shape.beta);
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boolean drifted = drift && i > count / 2 && i < count * 3L / 4;
      double itemDifficulty =
          distribution.inverseCumulativeProbability(random.nextDouble())
              + (drifted ? DRIFT_DIFFICULTY : 0);
      items.add(item(0.985 * itemDifficulty, confidenceModel, random));
    }
    return items;
  }

  private static Item item(
      double itemDifficulty, ConfidenceModel confidenceModel, SplittableRandom random) {
    boolean[] good = new boolean[COSTS.length];
    double[] confidence = new double[COSTS.length];
    for (int tier = 0; tier < COSTS.length; tier++) {
      double margin = CAPABILITY[tier] + CAPABILITY_NOISE * gaussian(random) - itemDifficulty;
      good[tier] = margin > 0;
      confidence[tier] = confidenceModel.confidence(margin, gaussian(random), random.nextDouble());
    }
    return new Item(good, confidence);
  }

  private static double gaussian(SplittableRandom random) {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
