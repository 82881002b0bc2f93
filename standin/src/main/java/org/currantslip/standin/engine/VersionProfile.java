package org.currantslip.standin.engine;

import java.util.Random;

/**
 * How one version of a model behaves.
 *
 * @param tokenMs time a token takes; zero gives the whole answer at once
 * @param prefillMs time to the first token when the prompt's prefix is not cached
 * @param tokens tokens of an answer
 * @param quality share of answers that are good
 * @param errorShare share of requests that fail
 */
public record VersionProfile(
    long tokenMs, long prefillMs, int tokens, double quality, double errorShare) {
  private static final int LEAST_TOKEN_MS = 1;
  private static final int TOKEN_MS_SPREAD = 4;
  private static final int LEAST_TOKENS = 8;
  private static final int TOKENS_SPREAD = 16;
  private static final double LEAST_QUALITY = 0.85;
  private static final double QUALITY_SPREAD = 0.14;
  private static final long PREFILL_TOKENS = 3;

  /** Returns the profile that a seed gives to a version. */
  public static VersionProfile seeded(long seed, String model, String version) {
    Random random = new Random(seed ^ ((model + "/" + version).hashCode() * 0x9E3779B97F4A7C15L));
    long tokenMs = (long) LEAST_TOKEN_MS + random.nextInt(TOKEN_MS_SPREAD);
    return new VersionProfile(
        tokenMs,
        tokenMs * PREFILL_TOKENS,
        LEAST_TOKENS + random.nextInt(TOKENS_SPREAD),
        LEAST_QUALITY + random.nextDouble() * QUALITY_SPREAD,
        0);
  }
}
