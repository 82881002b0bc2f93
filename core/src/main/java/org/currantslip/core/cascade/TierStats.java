package org.currantslip.core.cascade;

import java.util.Arrays;
import java.util.OptionalDouble;

/** Statistics of one tier of a task, by answer confidence; older counts decay exponentially. */
final class TierStats {
  static final int BUCKETS = 11;
  private static final int NO_CONFIDENCE = BUCKETS - 1;
  private static final double MIN_POOLED_RATINGS = 25;
  private static final double DECAY = 1 - 1.0 / 4000;

  /**
   * Weight of the last request in the exploration share; as slow as the measured quality of the
   * task.
   */
  private static final double EXPLORATION_SMOOTHING = 1.0 / 1500;

  private final double[] good = new double[BUCKETS];
  private final double[] rated = new double[BUCKETS];
  private final double[] answers = new double[BUCKETS];
  private double explorationShare;

  /** Returns the bucket of a confidence; the last bucket holds answers without a confidence. */
  static int bucket(OptionalDouble confidence) {
    if (confidence.isEmpty() || Double.isNaN(confidence.getAsDouble())) {
      return NO_CONFIDENCE;
    }
    double clamped = Math.max(0, Math.min(confidence.getAsDouble(), 1));
    return (int) Math.min(NO_CONFIDENCE - 1, clamped * NO_CONFIDENCE);
  }

  /** Records a request that could use this tier, and whether it was sent only for exploration. */
  void onPlanned(boolean exploratory) {
    explorationShare += EXPLORATION_SMOOTHING * ((exploratory ? 1 : 0) - explorationShare);
  }

  /** Returns the share of requests that are sent to this tier only for exploration. */
  double explorationShare() {
    return explorationShare;
  }

  void onAnswered(int bucket) {
    decay(answers);
    answers[bucket]++;
  }

  void addRating(int bucket, boolean isGood) {
    decay(good);
    decay(rated);
    rated[bucket]++;
    good[bucket] += isGood ? 1 : 0;
  }

  private static void decay(double[] counts) {
    for (int i = 0; i < counts.length; i++) {
      counts[i] *= DECAY;
    }
  }

  /** Returns the decayed number of ratings over all buckets. */
  double rated() {
    return Arrays.stream(rated).sum();
  }

  double rated(int bucket) {
    return rated[bucket];
  }

  /** Returns the share of the observed answers that fall into a bucket. */
  double frequency(int bucket) {
    double total = 0;
    for (double count : answers) {
      total += count;
    }
    return total <= 0 ? 0 : answers[bucket] / total;
  }

  /**
   * Returns a lower confidence bound of the share of good answers in a bucket, pooled with
   * neighbouring buckets on both sides until there are enough ratings.
   */
  double qualityLowerBound(int bucket, double z) {
    double goodRatings = good[bucket];
    double total = rated[bucket];
    for (int distance = 1;
        bucket != NO_CONFIDENCE && total < MIN_POOLED_RATINGS && distance < BUCKETS;
        distance++) {
      for (int neighbour : new int[] {bucket - distance, bucket + distance}) {
        if (neighbour >= 0 && neighbour < NO_CONFIDENCE) {
          goodRatings += good[neighbour];
          total += rated[neighbour];
        }
      }
    }
    return wilsonLowerBound(goodRatings, total, z);
  }

  /** Returns a lower confidence bound of the share of good answers over all buckets. */
  double qualityLowerBound(double z) {
    double goodRatings = 0;
    double total = 0;
    for (int i = 0; i < BUCKETS; i++) {
      goodRatings += good[i];
      total += rated[i];
    }
    return wilsonLowerBound(goodRatings, total, z);
  }

  /** Returns the lower bound of the Wilson score interval; zero without observations. */
  static double wilsonLowerBound(double good, double total, double z) {
    if (total <= 0) {
      return 0;
    }
    double z2 = z * z;
    double share = Math.min(1, good / total);
    double margin = z * Math.sqrt(share * (1 - share) / total + z2 / (4 * total * total));
    return (share + z2 / (2 * total) - margin) / (1 + z2 / total);
  }
}
