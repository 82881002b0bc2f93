package org.currantslip.core.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.currantslip.core.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * Selects which of a route's model sizes answers a request: the smallest first, and a larger one
 * while the caller has received nothing and the model reports low confidence in its answer.
 *
 * <p>No ratings are used. The value of an intermediate size is learned from the confidence with
 * which it answered requests on which the smaller size had reported a similarly low confidence.
 */
public final class SizeCascade {
  /** Models that are right more often than not report at least this confidence. */
  private static final double ACCEPT_CONFIDENCE = 0.5;

  /** Below this confidence, a late answer of a larger model is worth more than the current one. */
  private static final double LATE_ESCALATION_CONFIDENCE = 0.2;

  /**
   * Limit, in multiples of the objective, on late escalations of answers with very low confidence.
   */
  private static final double MAX_LATE_OBJECTIVES = 2;

  /**
   * Share of low-confidence requests that an intermediate size must resolve in order to be tried.
   */
  private static final double MIN_RESOLVED_SHARE = 0.5;

  private static final int CONFIDENCE_BUCKETS = 10;

  /** Weight of the prior estimate, in observations. */
  private static final double PRIOR_WEIGHT = 2;

  /**
   * An answer received from a model.
   *
   * @param size index of the model among the sizes of the route
   * @param confidence confidence of the model from 0 to 1, if reported
   */
  public record Answer(int size, OptionalDouble confidence) {
    private boolean isLowConfidence() {
      return confidence.isPresent() && confidence.getAsDouble() < ACCEPT_CONFIDENCE;
    }

    private int bucket() {
      return (int)
          Math.max(0, Math.min(CONFIDENCE_BUCKETS - 1, confidence.orElse(1) * CONFIDENCE_BUCKETS));
    }
  }

  private record Key(String route, int from, int bucket, int to) {
    // Written out: the generated methods run through method handles, which the JVM's first
    // compiler,
    // the only one that nodes use, does not inline, and which each process links again.
    @Override
    public boolean equals(@Nullable Object obj) {
      return obj instanceof Key other
          && route.equals(other.route)
          && from == other.from
          && bucket == other.bucket
          && to == other.to;
    }

    @Override
    public int hashCode() {
      return 31 * (31 * (31 * route.hashCode() + from) + bucket) + to;
    }
  }

  /** How often a size answered with sufficient confidence where a smaller one had not. */
  private static final class ResolutionStats {
    private double attempts = PRIOR_WEIGHT;
    private double resolved = PRIOR_WEIGHT * MIN_RESOLVED_SHARE;

    private double share() {
      return resolved / attempts;
    }
  }

  private final Map<Key, ResolutionStats> statsByKey = new HashMap<>();

  private SizeCascade() {}

  /** Creates a cascade without observations. */
  public static SizeCascade create() {
    return new SizeCascade();
  }

  /** Returns the size to try first. */
  public int firstSize(Route route) {
    return 0;
  }

  /** Returns the size to try next, or empty if the answer is accepted. */
  public OptionalInt nextSize(Route route, Answer answer) {
    int last = route.modelSizes().size() - 1;
    if (answer.size() >= last || !answer.isLowConfidence()) {
      return OptionalInt.empty();
    }
    for (int size = answer.size() + 1; size < last; size++) {
      ResolutionStats stats = statsByKey.get(key(route, answer, size));
      if (stats == null || stats.share() >= MIN_RESOLVED_SHARE) {
        return OptionalInt.of(size);
      }
    }
    return OptionalInt.of(last);
  }

  /**
   * Returns whether waiting for a larger model is worthwhile.
   *
   * @param expectedMs expected time to its first token
   * @param leftMs time left until the objective
   */
  public boolean isEscalationWorthwhile(
      Answer answer, double expectedMs, long leftMs, long objectiveMs) {
    if (expectedMs <= leftMs) {
      return true;
    }
    return answer.confidence().orElse(1) < LATE_ESCALATION_CONFIDENCE
        && expectedMs <= leftMs + (MAX_LATE_OBJECTIVES - 1) * objectiveMs;
  }

  /**
   * Records the confidence of a size on a request that a smaller size answered with low confidence.
   */
  public void observe(Route route, Answer lowConfidence, int size, OptionalDouble confidence) {
    ResolutionStats stats =
        statsByKey.computeIfAbsent(key(route, lowConfidence, size), k -> new ResolutionStats());
    stats.attempts++;
    if (confidence.orElse(1) >= ACCEPT_CONFIDENCE) {
      stats.resolved++;
    }
  }

  private static Key key(Route route, Answer answer, int to) {
    return new Key(route.name(), answer.size(), answer.bucket(), to);
  }
}
