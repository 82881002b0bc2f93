package org.currantslip.standin.engine;

import java.util.Random;

/**
 * Speed, quality and error rate of a model version.
 *
 * @param tokenMs time per token; the answer is generated at once if this and {@code prefillMs} are
 *     zero
 * @param prefillMs time to the first token if the prefix of the prompt is not cached
 * @param tokens number of tokens of an answer
 * @param quality share of answers that are good
 * @param errorShare share of requests that fail
 */
public record VersionProfile(
    long tokenMs, long prefillMs, int tokens, double quality, double errorShare) {
  private static final int MIN_TOKEN_MS = 1;
  private static final int TOKEN_MS_RANGE = 4;
  private static final int MIN_TOKENS = 8;
  private static final int TOKENS_RANGE = 16;
  private static final double MIN_QUALITY = 0.85;
  private static final double QUALITY_RANGE = 0.14;
  private static final long PREFILL_TOKEN_TIMES = 3;

  /** Derives the profile of a version from a seed. */
  public static VersionProfile seeded(long seed, String model, String version) {
    Random random = new Random(seed ^ ((model + "/" + version).hashCode() * 0x9E3779B97F4A7C15L));
    long tokenMs = (long) MIN_TOKEN_MS + random.nextInt(TOKEN_MS_RANGE);
    return new VersionProfile(
        tokenMs,
        tokenMs * PREFILL_TOKEN_TIMES,
        MIN_TOKENS + random.nextInt(TOKENS_RANGE),
        MIN_QUALITY + random.nextDouble() * QUALITY_RANGE,
        0);
  }
}
