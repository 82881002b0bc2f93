package org.currantslip.core.cascade;

import java.util.OptionalDouble;

/** What was seen of one tier of a task, by the confidence of its answers; older counts fade. */
final class TierStats {
  static final int BUCKETS = 11;
  private static final int NO_CONFIDENCE = BUCKETS - 1;
  private static final double FADE = 1 - 1.0 / 2000;

  private final double[] good = new double[BUCKETS];
  private final double[] rated = new double[BUCKETS];
  private final double[] answers = new double[BUCKETS];

  /** Returns the bucket of a confidence; the last one holds answers without any. */
  static int bucket(OptionalDouble confidence) {
    if (confidence.isEmpty() || Double.isNaN(confidence.getAsDouble())) {
      return NO_CONFIDENCE;
    }
    double clipped = Math.max(0, Math.min(confidence.getAsDouble(), 1));
    return (int) Math.min(NO_CONFIDENCE - 1, clipped * (BUCKETS - 1));
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

  double rated(int bucket) {
    return rated[bucket];
  }

  double good(int bucket) {
    return good[bucket];
  }

  double answers(int bucket) {
    return answers[bucket];
  }
}
