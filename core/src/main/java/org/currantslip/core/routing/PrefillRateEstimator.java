package org.currantslip.core.routing;

/**
 * Estimates the prefill time per token of the engines of a service.
 *
 * <p>The estimate follows the lowest observed time, because queueing only ever adds to it. It rises
 * by a small factor with each observation, so that an engine that became slower is detected.
 */
final class PrefillRateEstimator {
  /** The time to the first token of shorter prompts is dominated by queueing, not by prefill. */
  private static final long MIN_SAMPLE_TOKENS = 512;

  /** Assumes a fast engine, so that no request is refused before the first observation. */
  private static final double INITIAL_MS_PER_TOKEN = 0.02;

  private static final double UPWARD_DRIFT = 1.01;
  private static final double MIN_MS_PER_TOKEN = 0.001;

  private double msPerToken = INITIAL_MS_PER_TOKEN;
  private boolean hasSample;

  private PrefillRateEstimator() {}

  static PrefillRateEstimator create() {
    return new PrefillRateEstimator();
  }

  double msPerToken() {
    return msPerToken;
  }

  /** Records the time to the first token of a prompt and the number of tokens prefilled for it. */
  void observe(long tokens, long firstByteMs) {
    if (tokens < MIN_SAMPLE_TOKENS || firstByteMs < 0) {
      return;
    }
    double sample = Math.max(MIN_MS_PER_TOKEN, (double) firstByteMs / tokens);
    msPerToken = hasSample ? Math.min(msPerToken * UPWARD_DRIFT, sample) : sample;
    hasSample = true;
  }
}
