package org.currantslip.core.limits;

/** A token bucket whose rate may change; time comes from its caller. */
final class TokenBucket {
  private double rate;
  private double burst;
  private double level;
  private long atMs;

  TokenBucket(double rate, double burst, long nowMs) {
    this.rate = rate;
    this.burst = burst;
    level = burst;
    atMs = nowMs;
  }

  /** Changes the rate a second and the burst; what was gathered is kept up to the new burst. */
  void set(double rate, double burst, long nowMs) {
    fill(nowMs);
    this.rate = rate;
    this.burst = burst;
    level = Math.min(level, burst);
  }

  /** Fills the bucket to its burst. */
  void fillUp(long nowMs) {
    atMs = Math.max(atMs, nowMs);
    level = burst;
  }

  private void fill(long nowMs) {
    level = Math.min(burst, level + rate * Math.max(0, nowMs - atMs) / 1000);
    atMs = Math.max(atMs, nowMs);
  }

  boolean has(double amount, long nowMs) {
    fill(nowMs);
    return level >= Math.min(amount, burst);
  }

  /** Takes an amount; the level may fall below zero, which later requests wait for. */
  void take(double amount, long nowMs) {
    fill(nowMs);
    level -= amount;
  }

  /** Returns after how many milliseconds the bucket holds this amount. */
  long waitMs(double amount, long nowMs) {
    fill(nowMs);
    double missing = Math.min(amount, burst) - level;
    if (missing <= 0) {
      return 0;
    }
    return rate <= 0 ? Long.MAX_VALUE : (long) Math.ceil(1000 * missing / rate);
  }
}
