package org.currantslip.bench.cascade;

import java.util.List;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.config.ConfigView;

/** Policies without learning. */
final class Baselines {
  private static final double FIXED_THRESHOLD = 0.9;

  private Baselines() {}

  /** Returns the policy that always takes the dearest tier. */
  static CascadePolicy dearest() {
    return new Fixed(2);
  }

  /** Returns the policy that tries all tiers and takes answers of high confidence. */
  static CascadePolicy fixedThreshold() {
    return new Fixed(0);
  }

  /** Returns the policy that takes one tier at random. */
  static CascadePolicy randomTier(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return new Fixed(0) {
      @Override
      public List<String> plan(ConfigView config, String account, String task) {
        return List.of(Workload.MODELS[random.nextInt(Workload.MODELS.length)]);
      }
    };
  }

  private static class Fixed implements CascadePolicy {
    private final List<String> plan;

    Fixed(int firstTier) {
      plan = List.of(Workload.MODELS).subList(firstTier, Workload.MODELS.length);
    }

    @Override
    public List<String> plan(ConfigView config, String account, String task) {
      return plan;
    }

    @Override
    public boolean accept(
        ConfigView config, String account, String task, String model, OptionalDouble confidence) {
      return confidence.orElse(0) >= FIXED_THRESHOLD;
    }

    @Override
    public void onRated(
        String account, String task, String model, OptionalDouble confidence, boolean good) {}
  }
}
