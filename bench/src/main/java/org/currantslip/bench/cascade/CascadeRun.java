package org.currantslip.bench.cascade;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Queue;
import java.util.SplittableRandom;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.config.ConfigView;

/** Simulates one cascade policy on one workload, with delayed and incomplete ratings. */
final class CascadeRun {
  static final int WINDOW_REQUESTS = 1000;
  private static final String ACCOUNT = "account";
  private static final String TASK = "task";

  /**
   * Schedule by which ratings of answers arrive.
   *
   * @param delayRequests number of requests between an answer and its rating
   * @param coverage share of answers that are rated
   * @param outageStart index of the first request whose answer is never rated
   */
  record RatingSchedule(int delayRequests, double coverage, int outageStart) {}

  /**
   * Cost and quality of every request of a run.
   *
   * @param cost cost of each request, summed over the tiers tried
   * @param good whether the returned answer of each request was good
   */
  record Result(double[] cost, boolean[] good) {
    double costFrom(int from) {
      return Arrays.stream(cost, from, cost.length).sum();
    }

    int countGood(int from, int to) {
      int total = 0;
      for (int i = from; i < to; i++) {
        total += good[i] ? 1 : 0;
      }
      return total;
    }

    /** Returns the share of complete windows, starting at {@code from}, that met the target. */
    double windowsMet(int from, double target) {
      int met = 0;
      int windows = 0;
      for (int i = from; i + WINDOW_REQUESTS <= good.length; i += WINDOW_REQUESTS) {
        met += countGood(i, i + WINDOW_REQUESTS) >= target * WINDOW_REQUESTS ? 1 : 0;
        windows++;
      }
      return (double) met / windows;
    }
  }

  private record PendingRating(int dueAtRequest, String model, double confidence, boolean good) {}

  private CascadeRun() {}

  static Result run(
      CascadePolicy policy,
      ConfigView config,
      List<Workload.Item> items,
      RatingSchedule ratings,
      long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Queue<PendingRating> pending = new ArrayDeque<>();
    List<String> models = Arrays.asList(Workload.MODELS);
    double[] cost = new double[items.size()];
    boolean[] good = new boolean[items.size()];
    for (int i = 0; i < items.size(); i++) {
      while (!pending.isEmpty() && pending.element().dueAtRequest() <= i) {
        PendingRating rating = pending.remove();
        policy.onRated(
            ACCOUNT, TASK, rating.model(), OptionalDouble.of(rating.confidence()), rating.good());
      }
      Workload.Item item = items.get(i);
      List<String> plan = policy.plan(config, ACCOUNT, TASK);
      for (String model : plan) {
        int tier = models.indexOf(model);
        cost[i] += Workload.COSTS[tier];
        OptionalDouble confidence = OptionalDouble.of(item.confidence()[tier]);
        boolean isLastTier = model.equals(plan.get(plan.size() - 1));
        if (policy.accept(config, ACCOUNT, TASK, model, confidence) || isLastTier) {
          good[i] = item.good()[tier];
          if (random.nextDouble() < ratings.coverage() && i < ratings.outageStart()) {
            pending.add(
                new PendingRating(
                    i + ratings.delayRequests(), model, confidence.getAsDouble(), good[i]));
          }
          break;
        }
      }
    }
    return new Result(cost, good);
  }

  /**
   * Returns the least cost of this many good answers for a clairvoyant policy, which knows in
   * advance the cheapest tier that answers each request well.
   */
  static double clairvoyantCost(List<Workload.Item> items, int goodAnswers) {
    return leastCost(items, goodAnswers, Workload.COSTS);
  }

  /**
   * Returns the least cost of this many good answers for a sequential cascade. It pays for every
   * tier it tries, recognizes a good answer when it sees one, and knows in advance which requests
   * to leave at the cheapest tier.
   */
  static double sequentialCost(List<Workload.Item> items, int goodAnswers) {
    double[] tierCosts = new double[Workload.COSTS.length];
    double total = 0;
    for (int t = 0; t < tierCosts.length; t++) {
      total += Workload.COSTS[t];
      tierCosts[t] = total;
    }
    return leastCost(items, goodAnswers, tierCosts);
  }

  /**
   * Returns the least cost of serving all items with this many good answers.
   *
   * @param tierCosts cost of a request whose answer comes from each tier
   */
  private static double leastCost(List<Workload.Item> items, int goodAnswers, double[] tierCosts) {
    int[] itemsByTier = new int[tierCosts.length + 1];
    items.forEach(item -> itemsByTier[item.cheapestGoodTier()]++);
    double cost = items.size() * tierCosts[0];
    int remaining = Math.max(0, goodAnswers - itemsByTier[0]);
    for (int t = 1; t < tierCosts.length; t++) {
      int servedGood = Math.min(remaining, itemsByTier[t]);
      cost += servedGood * (tierCosts[t] - tierCosts[0]);
      remaining -= servedGood;
    }
    return cost;
  }
}
