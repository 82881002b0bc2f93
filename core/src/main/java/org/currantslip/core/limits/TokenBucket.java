package org.currantslip.core.limits;

/** A token bucket with an adjustable rate; the caller supplies the time. */
final class TokenBucket {
  private double rate;
  private double burst;
  private double available;
  private long refilledMs;

  TokenBucket(double rate, double burst, long nowMs) {
    this.rate = rate;
    this.burst = burst;
    available = burst;
    refilledMs = nowMs;
  }

  /** Changes the rate per second and the burst; available tokens are capped at the new burst. */
  void setRate(double rate, double burst, long nowMs) {
    refill(nowMs);
    this.rate = rate;
    this.burst = burst;
    available = Math.min(available, burst);
  }

  /** Fills the bucket up to its burst. */
  void fillUp(long nowMs) {
    refilledMs = Math.max(refilledMs, nowMs);
    available = burst;
  }

  private void refill(long nowMs) {
    available = Math.min(burst, available + rate * Math.max(0, nowMs - refilledMs) / 1000);
    refilledMs = Math.max(refilledMs, nowMs);
  }

  boolean canTake(double amount, long nowMs) {
    refill(nowMs);
    return available >= Math.min(amount, burst);
  }

  /** Takes an amount; the balance may become negative, which delays later requests. */
  void take(double amount, long nowMs) {
    refill(nowMs);
    available -= amount;
  }

  /** Returns the time in milliseconds until the bucket holds this amount. */
  long waitMs(double amount, long nowMs) {
    refill(nowMs);
    double deficit = Math.min(amount, burst) - available;
    if (deficit <= 0) {
      return 0;
    }
    return rate <= 0 ? Long.MAX_VALUE : (long) Math.ceil(1000 * deficit / rate);
  }
}
