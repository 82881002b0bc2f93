package org.currantslip.core.cascade;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.currantslip.core.route.Route;

/**
 * Chooses which of a route's model sizes answers a request: the smallest first, and a larger one
 * while the caller has received nothing and the model doubts its own answer.
 *
 * <p>There are no ratings here. What a size in between is good for is learned from the confidence
 * with which it answered requests that the size below had doubted as much.
 */
public final class SizeCascade {
  /** A model that is right more often than not says so with at least this confidence. */
  private static final double ACCEPTED = 0.5;

  /** Below this a late answer of a larger model is worth more than one of this model. */
  private static final double HOPELESS = 0.2;

  /** Objectives within which even a hopeless request may wait for a larger model. */
  private static final double LATE_OBJECTIVES = 2;

  /** Part of doubted requests that a size in between has to settle to be asked at all. */
  private static final double MIN_SETTLED = 0.5;

  private static final int BUCKETS = 10;

  /** Observations that the first guess counts for. */
  private static final double PRIOR = 2;

  /**
   * An answer that came back.
   *
   * @param size place of the model among the route's sizes
   * @param confidence its confidence from 0 to 1, if it gave one
   */
  public record Answer(int size, OptionalDouble confidence) {
    private boolean isDoubted() {
      return confidence.isPresent() && confidence.getAsDouble() < ACCEPTED;
    }

    private int bucket() {
      return (int) Math.max(0, Math.min(BUCKETS - 1, confidence.orElse(1) * BUCKETS));
    }
  }

  private record Key(String route, int from, int bucket, int to) {}

  /** How often a size settled what a smaller one had doubted. */
  private static final class Settled {
    private double asked = PRIOR;
    private double settled = PRIOR * MIN_SETTLED;

    private double share() {
      return settled / asked;
    }
  }

  private final Map<Key, Settled> settled = new HashMap<>();

  private SizeCascade() {}

  /** Returns a cascade without evidence. */
  public static SizeCascade create() {
    return new SizeCascade();
  }

  /** Returns the size to ask first. */
  public int first(Route route) {
    return 0;
  }

  /** Returns the size to ask next; empty if the answer is to be taken. */
  public OptionalInt next(Route route, Answer answer) {
    int last = route.modelSizes().size() - 1;
    if (answer.size() >= last || !answer.isDoubted()) {
      return OptionalInt.empty();
    }
    for (int size = answer.size() + 1; size < last; size++) {
      Settled seen = settled.get(key(route, answer, size));
      if (seen == null || seen.share() >= MIN_SETTLED) {
        return OptionalInt.of(size);
      }
    }
    return OptionalInt.of(last);
  }

  /**
   * Returns whether a larger model is worth its wait.
   *
   * @param expectedMs time until its first token
   * @param leftMs time that is left for an answer on time
   */
  public boolean isWorthIt(Answer answer, double expectedMs, long leftMs, long objectiveMs) {
    if (expectedMs <= leftMs) {
      return true;
    }
    return answer.confidence().orElse(1) < HOPELESS
        && expectedMs <= leftMs + (LATE_OBJECTIVES - 1) * objectiveMs;
  }

  /** Takes note of what a size made of a request that a smaller one had doubted. */
  public void observe(Route route, Answer doubted, int size, OptionalDouble confidence) {
    Settled seen = settled.computeIfAbsent(key(route, doubted, size), k -> new Settled());
    seen.asked++;
    if (confidence.orElse(1) >= ACCEPTED) {
      seen.settled++;
    }
  }

  private static Key key(Route route, Answer answer, int to) {
    return new Key(route.name(), answer.size(), answer.bucket(), to);
  }
}
