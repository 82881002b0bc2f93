package org.currantslip.core.cascade;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The cascade of one client account and task: tier statistics, and which answers to accept. */
final class TaskCascade {
  private static final double QUALITY_Z = 0.7;
  private static final double TARGET_Z = 2.2;
  private static final int TARGET_WINDOW_REQUESTS = 1000;
  private static final int RATINGS_PER_UPDATE = 25;
  private static final double MIN_RATINGS = 25;
  private static final int MAX_ANSWERS_WITHOUT_RATING = 2000;
  private static final double ENOUGH_RATINGS = 100;
  private static final double EXPLORATION_COST_SHARE = 0.015;
  private static final double KNOWN_TIER_EXPLORATION_RATE = 0.2;
  private static final double MIN_QUALITY_CREDIT = 0.001;
  private static final double MAX_QUALITY_CREDIT = 0.02;
  private static final double UNKNOWN_QUALITY_PRICE = 0.3;
  private static final double MIN_QUALITY_PRICE = 0.02;
  private static final double MAX_CREDITS = 20;
  private static final int TRADEOFF_STEPS = 48;
  private static final double TRADEOFF_BASE = 1.25;
  private static final double MIN_OFFSET = -0.04;
  private static final double MAX_OFFSET = 0.03;
  private static final double OFFSET_SMOOTHING = 0.02;
  private static final double QUALITY_SMOOTHING = 1.0 / 1500;

  private final SplittableRandom random;
  private final Map<String, TierStats> stats = new HashMap<>();
  private List<String> models = List.of();
  private double[] costs = {};
  private double target;
  private double[] useProbability = {};
  private double[][] acceptProbability = {};
  private double qualityOffset;
  private double predictedQuality;
  private double smoothedPrediction;
  private double measuredQuality = -1;
  private int ratings;
  private int answersSinceRating;
  private double costCredit;
  private double qualityCredit;

  TaskCascade(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Sets the tiers, cheapest first, with the cost of an answer of each. */
  void configure(List<String> models, double[] costs, double target) {
    this.models = models;
    this.costs = costs;
    this.target = target;
    updateStrategy();
  }

  private TierStats stats(String model) {
    return stats.computeIfAbsent(model, m -> new TierStats());
  }

  /** Returns the tiers to try: those worth their cost, and occasionally one to explore. */
  List<String> plan() {
    List<String> result = new ArrayList<>();
    int last = models.size() - 1;
    if (last < 0) {
      return result;
    }
    costCredit =
        Math.min(MAX_CREDITS * costs[last], costCredit + EXPLORATION_COST_SHARE * costs[last]);
    for (int i = 0; i < last; i++) {
      boolean selected = random.nextDouble() < useProbability[i];
      boolean exploratory = !selected && exploreTier(i);
      stats(models.get(i)).onPlanned(exploratory);
      if (selected || exploratory) {
        result.add(models.get(i));
      }
    }
    result.add(models.get(last));
    return result;
  }

  /** Spends a small share of the cost of the most expensive tier on exploring unused tiers. */
  private boolean exploreTier(int tier) {
    boolean hasEnoughRatings = stats(models.get(tier)).rated() >= ENOUGH_RATINGS;
    if (!receivesRatings()
        || costCredit < costs[tier]
        || random.nextDouble() > (hasEnoughRatings ? KNOWN_TIER_EXPLORATION_RATE : 1)) {
      return false;
    }
    costCredit -= costs[tier];
    return true;
  }

  /** Returns whether ratings arrive, without which exploration yields no information. */
  private boolean receivesRatings() {
    return answersSinceRating < MAX_ANSWERS_WITHOUT_RATING;
  }

  boolean accept(String model, int bucket) {
    int tier = models.indexOf(model);
    stats(model).onAnswered(bucket);
    boolean accepted =
        tier < 0
            || tier == models.size() - 1
            || random.nextDouble() < acceptProbability(tier, bucket);
    if (!accepted && receivesRatings()) {
      accepted = exploreAnswer(stats(model), bucket);
    }
    answersSinceRating += accepted ? 1 : 0;
    return accepted;
  }

  /**
   * Returns the probability of accepting an answer of a tier, over all requests sent to it.
   *
   * <p>Answers to exploratory requests are not covered by the current strategy.
   */
  private double acceptProbability(int tier, int bucket) {
    double sendProbability = useProbability[tier] + stats(models.get(tier)).explorationShare();
    return sendProbability <= 0
        ? 0
        : acceptProbability[tier][bucket] * useProbability[tier] / sendProbability;
  }

  /** Spends part of the quality above the target on answers of unknown quality. */
  private boolean exploreAnswer(TierStats tier, int bucket) {
    double surplus = (measuredQuality - target) / 2;
    qualityCredit += Math.max(MIN_QUALITY_CREDIT, Math.min(surplus, MAX_QUALITY_CREDIT));
    qualityCredit = Math.min(MAX_CREDITS * MAX_QUALITY_CREDIT, qualityCredit);
    double rated = tier.rated(bucket);
    double price =
        rated < MIN_RATINGS
            ? UNKNOWN_QUALITY_PRICE
            : Math.max(MIN_QUALITY_PRICE, 1 - tier.qualityLowerBound(bucket, QUALITY_Z));
    boolean worthRating = rated < ENOUGH_RATINGS || random.nextDouble() < MIN_RATINGS / rated;
    if (!worthRating || qualityCredit < price) {
      return false;
    }
    qualityCredit -= price;
    return true;
  }

  void rated(String model, int bucket, boolean good) {
    stats(model).addRating(bucket, good);
    answersSinceRating = 0;
    if (measuredQuality < 0) {
      measuredQuality = good ? 1 : target;
      smoothedPrediction = measuredQuality;
    }
    measuredQuality += QUALITY_SMOOTHING * ((good ? 1 : 0) - measuredQuality);
    smoothedPrediction += QUALITY_SMOOTHING * (predictedQuality - smoothedPrediction);
    ratings++;
    if (ratings % RATINGS_PER_UPDATE == 0) {
      double error = smoothedPrediction - measuredQuality;
      qualityOffset =
          Math.max(
              MIN_OFFSET,
              Math.min(MAX_OFFSET, qualityOffset + OFFSET_SMOOTHING * (error - qualityOffset)));
      updateStrategy();
    }
  }

  /** Returns the mean quality at which few windows of requests fall below the target. */
  private double requiredQuality() {
    return target + TARGET_Z * Math.sqrt(target * (1 - target) / TARGET_WINDOW_REQUESTS);
  }

  /** Mixes the two strategies whose quality lower bounds enclose the required quality. */
  private void updateStrategy() {
    double requiredQuality = requiredQuality() + qualityOffset;
    Strategy strict = strategyFor(0);
    Strategy lenient = strict;
    for (int step = 0; step < TRADEOFF_STEPS && !models.isEmpty(); step++) {
      double qualityPerCost =
          Math.pow(TRADEOFF_BASE, (double) step - TRADEOFF_STEPS) / costs[models.size() - 1] * 20;
      Strategy next = strategyFor(qualityPerCost);
      if (next.quality() >= requiredQuality && next.cost() <= strict.cost()) {
        strict = next;
        lenient = next;
      } else if (lenient == strict
          && next.quality() < requiredQuality
          && next.cost() < strict.cost()) {
        lenient = next;
      }
    }
    double qualityGap = strict.quality() - lenient.quality();
    double lenientWeight =
        qualityGap <= 0 || strict.quality() < requiredQuality
            ? 0
            : (strict.quality() - requiredQuality) / qualityGap;
    useProbability = mix(strict.tierUsed(), lenient.tierUsed(), lenientWeight);
    acceptProbability = new double[models.size()][];
    for (int i = 0; i < acceptProbability.length; i++) {
      acceptProbability[i] =
          mix(strict.bucketAccepted()[i], lenient.bucketAccepted()[i], lenientWeight);
    }
    predictedQuality = strict.quality() - lenientWeight * qualityGap;
  }

  private static double[] mix(boolean[] strict, boolean[] lenient, double lenientWeight) {
    double[] result = new double[strict.length];
    for (int i = 0; i < result.length; i++) {
      result[i] = (strict[i] ? 1 - lenientWeight : 0) + (lenient[i] ? lenientWeight : 0);
    }
    return result;
  }

  private record Strategy(
      boolean[] tierUsed, boolean[][] bucketAccepted, double quality, double cost) {}

  /** Returns the strategy that gives up this much quality per unit of cost saved. */
  private Strategy strategyFor(double qualityPerCost) {
    int last = models.size() - 1;
    boolean[] tierUsed = new boolean[models.size()];
    boolean[][] bucketAccepted = new boolean[models.size()][TierStats.BUCKETS];
    if (last < 0) {
      return new Strategy(tierUsed, bucketAccepted, 0, 0);
    }
    tierUsed[last] = true;
    double quality = stats(models.get(last)).qualityLowerBound(QUALITY_Z);
    double cost = costs[last];
    for (int i = last - 1; i >= 0; i--) {
      TierStats tier = stats(models.get(i));
      double minQuality = quality - qualityPerCost * cost;
      double acceptedShare = 0;
      double acceptedQuality = 0;
      for (int bucket = 0; bucket < TierStats.BUCKETS; bucket++) {
        double bucketQuality = tier.qualityLowerBound(bucket, QUALITY_Z);
        if (tier.rated() >= MIN_RATINGS && bucketQuality >= minQuality) {
          bucketAccepted[i][bucket] = true;
          acceptedShare += tier.frequency(bucket);
          acceptedQuality += tier.frequency(bucket) * bucketQuality;
        }
      }
      double newQuality = acceptedQuality + (1 - acceptedShare) * quality;
      double newCost = costs[i] + (1 - acceptedShare) * cost;
      if (newQuality - qualityPerCost * newCost > quality - qualityPerCost * cost) {
        tierUsed[i] = true;
        quality = newQuality;
        cost = newCost;
      }
    }
    return new Strategy(tierUsed, bucketAccepted, quality, cost);
  }
}
