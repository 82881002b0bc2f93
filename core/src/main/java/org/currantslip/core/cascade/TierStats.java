package org.currantslip.core.cascade;

import java.util.Arrays;
import java.util.OptionalDouble;

/** What was seen of one tier of a task, by the confidence of its answers; older counts fade. */
final class TierStats {
  static final int BUCKETS = 11;
  private static final int NO_CONFIDENCE = BUCKETS - 1;
  private static final double POOLED_RATINGS = 25;
  private static final double FADE = 1 - 1.0 / 4000;

  /** Part that the last request has in the share of trials: as slow as the measured quality. */
  private static final double TRIAL_SMOOTHING = 1.0 / 1500;

  private final double[] good = new double[BUCKETS];
  private final double[] rated = new double[BUCKETS];
  private final double[] answers = new double[BUCKETS];
  private double trialShare;

  /** Returns the bucket of a confidence; the last one holds answers without any. */
  static int bucket(OptionalDouble confidence) {
    if (confidence.isEmpty() || Double.isNaN(confidence.getAsDouble())) {
      return NO_CONFIDENCE;
    }
    double clipped = Math.max(0, Math.min(confidence.getAsDouble(), 1));
    return (int) Math.min(NO_CONFIDENCE - 1, clipped * NO_CONFIDENCE);
  }

  /** Counts a request that this tier could be sent, and whether it was sent only as a trial. */
  void planned(boolean onTrial) {
    trialShare += TRIAL_SMOOTHING * ((onTrial ? 1 : 0) - trialShare);
  }

  /** Returns the part of requests that are sent to this tier only to learn about it. */
  double trialShare() {
    return trialShare;
  }

  void answered(int bucket) {
    fade(answers);
    answers[bucket]++;
  }

  void addRating(int bucket, boolean wasGood) {
    fade(good);
    fade(rated);
    rated[bucket]++;
    good[bucket] += wasGood ? 1 : 0;
  }

  private static void fade(double[] counts) {
    for (int i = 0; i < counts.length; i++) {
      counts[i] *= FADE;
    }
  }

  /** Returns the ratings of all buckets. */
  double rated() {
    return Arrays.stream(rated).sum();
  }

  double rated(int bucket) {
    return rated[bucket];
  }

  /** Returns the share of answers of a bucket, as far as known. */
  double frequency(int bucket) {
    double all = 0;
    for (double a : answers) {
      all += a;
    }
    return all <= 0 ? 0 : answers[bucket] / all;
  }

  /**
   * Returns a lower confidence bound of the share of good answers of a bucket, with as many
   * neighbours on both sides as it takes to have enough ratings.
   */
  double lowerQuality(int bucket, double z) {
    double goods = good[bucket];
    double all = rated[bucket];
    for (int reach = 1;
        bucket != NO_CONFIDENCE && all < POOLED_RATINGS && reach < BUCKETS;
        reach++) {
      for (int side : new int[] {bucket - reach, bucket + reach}) {
        if (side >= 0 && side < NO_CONFIDENCE) {
          goods += good[side];
          all += rated[side];
        }
      }
    }
    return lowerBound(goods, all, z);
  }

  /** Returns the share of good answers over all buckets, from below. */
  double lowerQuality(double z) {
    double goods = 0;
    double all = 0;
    for (int i = 0; i < BUCKETS; i++) {
      goods += good[i];
      all += rated[i];
    }
    return lowerBound(goods, all, z);
  }

  /** Returns the lower end of Wilson's interval of a share; zero without observations. */
  static double lowerBound(double good, double all, double z) {
    if (all <= 0) {
      return 0;
    }
    double z2 = z * z;
    double share = Math.min(1, good / all);
    double spread = z * Math.sqrt(share * (1 - share) / all + z2 / (4 * all * all));
    return (share + z2 / (2 * all) - spread) / (1 + z2 / all);
  }
}
