package org.currantslip.core.cascade;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;

/** Tries cheap tiers first as far as the ratings of their answers allow. */
public final class RatedCascade implements CascadePolicy {
  private static final double DEFAULT_TARGET = 0.95;
  private static final double Z_LOWER = 1.64;

  private record TierKey(String account, String task, String model) {}

  private final Map<TierKey, TierStats> stats = new HashMap<>();

  private RatedCascade(Clock clock) {}

  /** Returns a cascade without ratings, which takes no cheap answer. */
  public static RatedCascade create(Clock clock) {
    return new RatedCascade(clock);
  }

  @Override
  public List<String> plan(ConfigView config, String account, String task) {
    return config.rules().tiers(account, task).stream().map(Rule.Tier::model).distinct().toList();
  }

  @Override
  public boolean accept(
      ConfigView config, String account, String task, String model, OptionalDouble confidence) {
    int bucket = TierStats.bucket(confidence);
    TierStats tier = tier(account, task, model);
    tier.answered(bucket);
    double target =
        config.rules().qualityTarget(account, task).map(q -> q.target()).orElse(DEFAULT_TARGET);
    return lowerBound(tier.good(bucket), tier.rated(bucket)) >= target;
  }

  @Override
  public void rated(
      String account, String task, String model, OptionalDouble confidence, boolean good) {
    tier(account, task, model).addRating(TierStats.bucket(confidence), good);
  }

  private TierStats tier(String account, String task, String model) {
    return stats.computeIfAbsent(new TierKey(account, task, model), k -> new TierStats());
  }

  /** Returns the lower end of Wilson's interval of a share. */
  static double lowerBound(double good, double all) {
    if (all <= 0) {
      return 0;
    }
    double z2 = Z_LOWER * Z_LOWER;
    double share = good / all;
    double spread = Z_LOWER * Math.sqrt(share * (1 - share) / all + z2 / (4 * all * all));
    return (share + z2 / (2 * all) - spread) / (1 + z2 / all);
  }
}
