package org.currantslip.bench.cascade;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Queue;
import java.util.SplittableRandom;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.config.ConfigView;

/** One policy over one workload. */
final class CascadeRun {
  static final int WINDOW = 1000;
  private static final String ACCOUNT = "account";
  private static final String TASK = "task";

  /**
   * When ratings come.
   *
   * @param delayRequests requests between an answer and its rating
   * @param coverage share of answers that are rated
   * @param outFrom request from which no ratings come
   */
  record Ratings(int delayRequests, double coverage, int outFrom) {}

  /**
   * What a run gave.
   *
   * @param cost cost of each request
   * @param good whether each answer was good
   */
  record Result(double[] cost, boolean[] good) {
    double costFrom(int from) {
      return Arrays.stream(cost, from, cost.length).sum();
    }

    int goodIn(int from, int to) {
      int sum = 0;
      for (int i = from; i < to; i++) {
        sum += good[i] ? 1 : 0;
      }
      return sum;
    }

    /** Returns the share of whole windows from a request on that met the target. */
    double windowsMet(int from, double target) {
      int met = 0;
      int all = 0;
      for (int i = from; i + WINDOW <= good.length; i += WINDOW) {
        met += goodIn(i, i + WINDOW) >= target * WINDOW ? 1 : 0;
        all++;
      }
      return (double) met / all;
    }
  }

  private record Due(int at, String model, double confidence, boolean good) {}

  private CascadeRun() {}

  static Result of(
      CascadePolicy policy,
      ConfigView config,
      List<Workload.Item> items,
      Ratings ratings,
      long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Queue<Due> due = new ArrayDeque<>();
    List<String> models = Arrays.asList(Workload.MODELS);
    double[] cost = new double[items.size()];
    boolean[] good = new boolean[items.size()];
    for (int i = 0; i < items.size(); i++) {
      while (!due.isEmpty() && due.element().at() <= i) {
        Due d = due.remove();
        policy.onRated(ACCOUNT, TASK, d.model(), OptionalDouble.of(d.confidence()), d.good());
      }
      Workload.Item item = items.get(i);
      List<String> plan = policy.plan(config, ACCOUNT, TASK);
      for (String model : plan) {
        int tier = models.indexOf(model);
        cost[i] += Workload.COSTS[tier];
        OptionalDouble confidence = OptionalDouble.of(item.confidence()[tier]);
        boolean last = model.equals(plan.get(plan.size() - 1));
        if (policy.accept(config, ACCOUNT, TASK, model, confidence) || last) {
          good[i] = item.good()[tier];
          if (random.nextDouble() < ratings.coverage() && i < ratings.outFrom()) {
            due.add(new Due(i + ratings.delayRequests(), model, confidence.getAsDouble(), good[i]));
          }
          break;
        }
      }
    }
    return new Result(cost, good);
  }

  /** Returns the least cost at which a clairvoyant gives this many good answers. */
  static double clairvoyantCost(List<Workload.Item> items, int goodAnswers) {
    return leastCost(items, goodAnswers, Workload.COSTS);
  }

  /**
   * Returns the least cost of a cascade that pays for each tier it tries, knows on seeing an answer
   * whether it is good, and knows before which requests are not worth a good answer.
   */
  static double sequentialCost(List<Workload.Item> items, int goodAnswers) {
    double[] paths = new double[Workload.COSTS.length];
    double sum = 0;
    for (int t = 0; t < paths.length; t++) {
      sum += Workload.COSTS[t];
      paths[t] = sum;
    }
    return leastCost(items, goodAnswers, paths);
  }

  private static double leastCost(List<Workload.Item> items, int goodAnswers, double[] paths) {
    int[] byTier = new int[paths.length + 1];
    items.forEach(item -> byTier[item.cheapest()]++);
    double cost = items.size() * paths[0];
    int left = Math.max(0, goodAnswers - byTier[0]);
    for (int t = 1; t < paths.length; t++) {
      int served = Math.min(left, byTier[t]);
      cost += served * (paths[t] - paths[0]);
      left -= served;
    }
    return cost;
  }
}
