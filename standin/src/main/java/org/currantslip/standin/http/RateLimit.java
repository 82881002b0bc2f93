package org.currantslip.standin.http;

/** A token bucket that holds one second's worth of calls. */
public final class RateLimit {
  private static final double NANOS_PER_S = 1e9;

  private final double perSecond;
  private double tokens;
  private long lastNanos = System.nanoTime();

  private RateLimit(double perSecond) {
    this.perSecond = perSecond;
    tokens = perSecond;
  }

  /** Returns a limit; zero means none. */
  public static RateLimit perSecond(double calls) {
    return new RateLimit(calls);
  }

  /** Takes one call's token; false when the rate is used up. */
  public synchronized boolean tryTake() {
    if (perSecond <= 0) {
      return true;
    }
    long now = System.nanoTime();
    tokens = Math.min(perSecond, tokens + (now - lastNanos) / NANOS_PER_S * perSecond);
    lastNanos = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
