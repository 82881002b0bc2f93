package org.currantslip.core.cascade;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;

/** Tries cheaper tiers first, as far as the ratings of their answers allow. */
public final class RatedCascade implements CascadePolicy {
  private static final double DEFAULT_QUALITY_TARGET = 0.95;
  private static final double FALLBACK_COST_RATIO = 4;

  private record TaskKey(String account, String task) {}

  private final Map<TaskKey, TaskCascade> cascades = new HashMap<>();
  private final Map<TaskKey, ConfigView> configByTask = new HashMap<>();
  private final long seed;

  private RatedCascade(long seed) {
    this.seed = seed;
  }

  /** Creates a cascade without ratings, which accepts no answer of a cheaper tier. */
  public static RatedCascade create(Clock clock) {
    return new RatedCascade(clock.nowMs());
  }

  private TaskCascade task(ConfigView config, String account, String task) {
    TaskKey key = new TaskKey(account, task);
    TaskCascade cascade = task(key);
    ConfigView previous = configByTask.get(key);
    if (previous == null || previous.version() != config.version()) {
      configByTask.put(key, config);
      configure(cascade, config, account, task);
    }
    return cascade;
  }

  private TaskCascade task(TaskKey key) {
    return cascades.computeIfAbsent(key, k -> new TaskCascade(seed + k.hashCode()));
  }

  private static void configure(
      TaskCascade cascade, ConfigView config, String account, String task) {
    List<String> models =
        config.rules().tiers(account, task).stream().map(Rule.Tier::model).distinct().toList();
    double[] costs = new double[models.size()];
    for (int i = 0; i < costs.length; i++) {
      costs[i] = cost(config, models.get(i), Math.pow(FALLBACK_COST_RATIO, i));
    }
    double target =
        config
            .rules()
            .qualityTarget(account, task)
            .map(rule -> rule.target())
            .orElse(DEFAULT_QUALITY_TARGET);
    cascade.configure(models, costs, target);
  }

  private static double cost(ConfigView config, String model, double fallback) {
    return config
        .rules()
        .serveRule(model)
        .flatMap(serving -> config.rules().price(model, serving.version()))
        .map(price -> (double) (price.promptMicrosPerKtok() + price.completionMicrosPerKtok()))
        .filter(cost -> cost > 0)
        .orElse(fallback);
  }

  @Override
  public List<String> plan(ConfigView config, String account, String task) {
    return task(config, account, task).plan();
  }

  @Override
  public boolean accept(
      ConfigView config, String account, String task, String model, OptionalDouble confidence) {
    return task(config, account, task).accept(model, TierStats.bucket(confidence));
  }

  @Override
  public void onRated(
      String account, String task, String model, OptionalDouble confidence, boolean good) {
    task(new TaskKey(account, task)).rated(model, TierStats.bucket(confidence), good);
  }
}
