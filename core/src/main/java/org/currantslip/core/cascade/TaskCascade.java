package org.currantslip.core.cascade;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The cascade of one client account and task: what its tiers deliver, and which answers to take.
 */
final class TaskCascade {
  private static final double Z_BUCKET = 0.7;
  private static final double Z_WINDOW = 2.2;
  private static final int WINDOW_REQUESTS = 1000;
  private static final int RATINGS_PER_CHOICE = 25;
  private static final double MIN_RATED = 25;
  private static final int ANSWERS_WITHOUT_RATING = 2000;
  private static final double WELL_RATED = 100;
  private static final double TRY_COST_SHARE = 0.015;
  private static final double KNOWN_TIER_TRY = 0.2;
  private static final double MIN_QUALITY_CREDIT = 0.001;
  private static final double MAX_QUALITY_CREDIT = 0.02;
  private static final double UNKNOWN_QUALITY_COST = 0.3;
  private static final double LEAST_QUALITY_COST = 0.02;
  private static final double MAX_CREDITS = 20;
  private static final int PRICE_STEPS = 48;
  private static final double PRICE_BASE = 1.25;
  private static final double MIN_OFFSET = -0.04;
  private static final double MAX_OFFSET = 0.03;
  private static final double OFFSET_SMOOTHING = 0.02;
  private static final double SMOOTHING = 1.0 / 1500;

  private final SplittableRandom random;
  private final Map<String, TierStats> stats = new HashMap<>();
  private List<String> models = List.of();
  private double[] costs = {};
  private double target;
  private double[] used = {};
  private double[][] taken = {};
  private double offset;
  private double predicted;
  private double expected;
  private double measured = -1;
  private int ratings;
  private int answersSinceRating;
  private double costCredit;
  private double qualityCredit;

  TaskCascade(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Takes the tiers, cheapest first, with what an answer of each costs. */
  void configure(List<String> models, double[] costs, double target) {
    this.models = models;
    this.costs = costs;
    this.target = target;
    choose();
  }

  private TierStats stats(String model) {
    return stats.computeIfAbsent(model, m -> new TierStats());
  }

  /** Returns the tiers to try: those worth their cost, and now and then one to learn about. */
  List<String> plan() {
    List<String> out = new ArrayList<>();
    int last = models.size() - 1;
    if (last < 0) {
      return out;
    }
    costCredit = Math.min(MAX_CREDITS * costs[last], costCredit + TRY_COST_SHARE * costs[last]);
    for (int i = 0; i < last; i++) {
      boolean inUse = random.nextDouble() < used[i];
      boolean onTrial = !inUse && tryTier(i);
      stats(models.get(i)).planned(onTrial);
      if (inUse || onTrial) {
        out.add(models.get(i));
      }
    }
    out.add(models.get(last));
    return out;
  }

  /** Spends a small share of the dearest tier's cost on tiers that are not in use. */
  private boolean tryTier(int tier) {
    boolean known = stats(models.get(tier)).rated() >= WELL_RATED;
    if (!learning()
        || costCredit < costs[tier]
        || random.nextDouble() > (known ? KNOWN_TIER_TRY : 1)) {
      return false;
    }
    costCredit -= costs[tier];
    return true;
  }

  /** Returns whether ratings arrive, so that something can be learnt by trying. */
  private boolean learning() {
    return answersSinceRating < ANSWERS_WITHOUT_RATING;
  }

  boolean accept(String model, int bucket) {
    int tier = models.indexOf(model);
    stats(model).answered(bucket);
    boolean take =
        tier < 0 || tier == models.size() - 1 || random.nextDouble() < takenOfSent(tier, bucket);
    if (!take && learning()) {
      take = tryAnswer(stats(model), bucket);
    }
    answersSinceRating += take ? 1 : 0;
    return take;
  }

  /**
   * Returns the part of a tier's answers to take, of all that were asked for.
   *
   * <p>Answers of requests that only try the tier are not covered by the choice.
   */
  private double takenOfSent(int tier, int bucket) {
    double sent = used[tier] + stats(models.get(tier)).trialShare();
    return sent <= 0 ? 0 : taken[tier][bucket] * used[tier] / sent;
  }

  /** Spends a part of the quality above the target on answers whose quality is not known. */
  private boolean tryAnswer(TierStats tier, int bucket) {
    double spare = (measured - target) / 2;
    qualityCredit += Math.max(MIN_QUALITY_CREDIT, Math.min(spare, MAX_QUALITY_CREDIT));
    qualityCredit = Math.min(MAX_CREDITS * MAX_QUALITY_CREDIT, qualityCredit);
    double rated = tier.rated(bucket);
    double price =
        rated < MIN_RATED
            ? UNKNOWN_QUALITY_COST
            : Math.max(LEAST_QUALITY_COST, 1 - tier.lowerQuality(bucket, Z_BUCKET));
    boolean wanted = rated < WELL_RATED || random.nextDouble() < MIN_RATED / rated;
    if (!wanted || qualityCredit < price) {
      return false;
    }
    qualityCredit -= price;
    return true;
  }

  void rated(String model, int bucket, boolean good) {
    stats(model).addRating(bucket, good);
    answersSinceRating = 0;
    if (measured < 0) {
      measured = good ? 1 : target;
      expected = measured;
    }
    measured += SMOOTHING * ((good ? 1 : 0) - measured);
    expected += SMOOTHING * (predicted - expected);
    ratings++;
    if (ratings % RATINGS_PER_CHOICE == 0) {
      double error = expected - measured;
      offset =
          Math.max(MIN_OFFSET, Math.min(MAX_OFFSET, offset + OFFSET_SMOOTHING * (error - offset)));
      choose();
    }
  }

  /** Returns the mean quality at which few windows fall below the target. */
  private double wanted() {
    return target + Z_WINDOW * Math.sqrt(target * (1 - target) / WINDOW_REQUESTS);
  }

  /** Mixes the two choices between whose qualities, taken from below, the wanted one lies. */
  private void choose() {
    double wanted = wanted() + offset;
    Choice safe = choice(0);
    Choice cheap = safe;
    for (int step = 0; step < PRICE_STEPS && !models.isEmpty(); step++) {
      double perCost =
          Math.pow(PRICE_BASE, (double) step - PRICE_STEPS) / costs[models.size() - 1] * 20;
      Choice next = choice(perCost);
      if (next.quality() >= wanted && next.cost() <= safe.cost()) {
        safe = next;
        cheap = next;
      } else if (cheap == safe && next.quality() < wanted && next.cost() < safe.cost()) {
        cheap = next;
      }
    }
    double gap = safe.quality() - cheap.quality();
    double part = gap <= 0 || safe.quality() < wanted ? 0 : (safe.quality() - wanted) / gap;
    used = mix(safe.used(), cheap.used(), part);
    taken = new double[models.size()][];
    for (int i = 0; i < taken.length; i++) {
      taken[i] = mix(safe.taken()[i], cheap.taken()[i], part);
    }
    predicted = safe.quality() - part * gap;
  }

  private static double[] mix(boolean[] safe, boolean[] cheap, double part) {
    double[] out = new double[safe.length];
    for (int i = 0; i < out.length; i++) {
      out[i] = (safe[i] ? 1 - part : 0) + (cheap[i] ? part : 0);
    }
    return out;
  }

  private record Choice(boolean[] used, boolean[][] taken, double quality, double cost) {}

  /** Returns the choice that gives up quality at this rate per unit of cost saved. */
  private Choice choice(double perCost) {
    int last = models.size() - 1;
    boolean[] nextUsed = new boolean[models.size()];
    boolean[][] nextTaken = new boolean[models.size()][TierStats.BUCKETS];
    if (last < 0) {
      return new Choice(nextUsed, nextTaken, 0, 0);
    }
    nextUsed[last] = true;
    double quality = stats(models.get(last)).lowerQuality(Z_BUCKET);
    double cost = costs[last];
    for (int i = last - 1; i >= 0; i--) {
      TierStats tier = stats(models.get(i));
      double least = quality - perCost * cost;
      double takenShare = 0;
      double takenQuality = 0;
      for (int b = 0; b < TierStats.BUCKETS; b++) {
        double lower = tier.lowerQuality(b, Z_BUCKET);
        if (tier.rated() >= MIN_RATED && lower >= least) {
          nextTaken[i][b] = true;
          takenShare += tier.frequency(b);
          takenQuality += tier.frequency(b) * lower;
        }
      }
      double newQuality = takenQuality + (1 - takenShare) * quality;
      double newCost = costs[i] + (1 - takenShare) * cost;
      if (newQuality - perCost * newCost > quality - perCost * cost) {
        nextUsed[i] = true;
        quality = newQuality;
        cost = newCost;
      }
    }
    return new Choice(nextUsed, nextTaken, quality, cost);
  }
}
