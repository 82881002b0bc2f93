package org.currantslip.bench.cascade;

import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.config.ConfigView;

/** Baseline policies that do not learn from ratings. */
final class Baselines {
  private static final double CONFIDENCE_THRESHOLD = 0.9;

  private Baselines() {}

  /** Returns the policy that sends every request to the most expensive tier only. */
  static CascadePolicy mostExpensiveTier() {
    return new FixedPlanPolicy(2);
  }

  /**
   * Returns the policy that tries the tiers in ascending order of cost and accepts the first answer
   * whose confidence reaches a fixed threshold.
   */
  static CascadePolicy fixedThreshold() {
    return new FixedPlanPolicy(0);
  }

  /** Returns the policy that sends every request to one tier, chosen uniformly at random. */
  static CascadePolicy randomTier(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return new FixedPlanPolicy(0) {
      @Override
      public List<String> plan(ConfigView config, String account, String task) {
        return List.of(Workload.MODELS[random.nextInt(Workload.MODELS.length)]);
      }
    };
  }

  private static class FixedPlanPolicy implements CascadePolicy {
    private final List<String> plan;

    FixedPlanPolicy(int firstTier) {
      plan = List.of(Workload.MODELS).subList(firstTier, Workload.MODELS.length);
    }

    @Override
    public List<String> plan(ConfigView config, String account, String task) {
      return plan;
    }

    @Override
    public boolean accept(
        ConfigView config, String account, String task, String model, OptionalDouble confidence) {
      return confidence.orElse(0) >= CONFIDENCE_THRESHOLD;
    }

    @Override
    public void onRated(
        String account, String task, String model, OptionalDouble confidence, boolean good) {}
  }
}
