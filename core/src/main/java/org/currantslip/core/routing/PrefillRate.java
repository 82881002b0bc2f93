package org.currantslip.core.routing;

/**
 * Learns how long the engines of a service take to read a token.
 *
 * <p>The lowest observed time wins, as waits only ever add to it; it creeps up so that an engine
 * that became slower is found out.
 */
final class PrefillRate {
  /** Prompts shorter than this say more about the wait than about the reading. */
  private static final long MIN_TOKENS = 512;

  /** A fast engine, so that nothing is refused before the first observation. */
  private static final double START_MS_PER_TOKEN = 0.02;

  private static final double CREEP = 1.01;
  private static final double MIN_MS_PER_TOKEN = 0.001;

  private double msPerToken = START_MS_PER_TOKEN;
  private boolean observed;

  private PrefillRate() {}

  static PrefillRate create() {
    return new PrefillRate();
  }

  double msPerToken() {
    return msPerToken;
  }

  /** Takes the time to the first token of a prompt, with the tokens read for it. */
  void observe(long tokens, long firstByteMs) {
    if (tokens < MIN_TOKENS || firstByteMs < 0) {
      return;
    }
    double seen = Math.max(MIN_MS_PER_TOKEN, (double) firstByteMs / tokens);
    msPerToken = observed ? Math.min(msPerToken * CREEP, seen) : seen;
    observed = true;
  }
}
