package org.currantslip.bench.cascade;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.commons.math3.distribution.BetaDistribution;

/** Requests of random difficulty, with what each tier would answer. */
final class Workload {
  static final double[] COSTS = {1, 6, 30};
  static final String[] MODELS = {"small", "middle", "large"};
  private static final double[] CAPABILITY = {0.45, 0.72, 1.0};
  private static final double LUCK = 0.02;
  private static final double HARDER = 0.08;

  /** Shape of the difficulty of a task. */
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
   * One request.
   *
   * @param good whether each tier answers it well
   * @param confidence what each tier says of its answer
   */
  record Item(boolean[] good, double[] confidence) {
    /** Returns the cheapest tier that answers well; the number of tiers when none does. */
    int cheapest() {
      int tier = 0;
      while (tier < good.length && !good[tier]) {
        tier++;
      }
      return tier;
    }
  }

  private Workload() {}

  static List<Item> of(Shape shape, Honesty honesty, boolean drift, int count, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    BetaDistribution difficulty = new BetaDistribution(null, shape.alpha, shape.beta);
    List<Item> items = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boolean harder = drift && i > count / 2 && i < count * 3L / 4;
      double hard =
          difficulty.inverseCumulativeProbability(random.nextDouble()) + (harder ? HARDER : 0);
      items.add(item(0.985 * hard, honesty, random));
    }
    return items;
  }

  private static Item item(double hard, Honesty honesty, SplittableRandom random) {
    boolean[] good = new boolean[COSTS.length];
    double[] confidence = new double[COSTS.length];
    for (int t = 0; t < COSTS.length; t++) {
      double margin = CAPABILITY[t] + LUCK * gaussian(random) - hard;
      good[t] = margin > 0;
      confidence[t] = honesty.confidence(margin, gaussian(random), random.nextDouble());
    }
    return new Item(good, confidence);
  }

  private static double gaussian(SplittableRandom random) {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
