package org.currantslip.standin.http;

/** A token bucket whose capacity is one second of calls. */
public final class RateLimit {
  private static final double NANOS_PER_S = 1e9;

  private final double perSecond;
  private double tokens;
  private long lastNanos = System.nanoTime();

  private RateLimit(double perSecond) {
    this.perSecond = perSecond;
    tokens = perSecond;
  }

  /** Returns a rate limit; zero means no limit. */
  public static RateLimit perSecond(double callsPerSecond) {
    return new RateLimit(callsPerSecond);
  }

  /** Takes one token; returns false if none is available. */
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
