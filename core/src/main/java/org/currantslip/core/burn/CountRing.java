package org.currantslip.core.burn;

import java.util.Arrays;

/** Counts per interval over a fixed number of past intervals. */
final class CountRing {
  private final long intervalMs;
  private final int columns;
  private final long[] startMs;
  private final long[] counts;

  private CountRing(long intervalMs, int intervals, int columns) {
    this.intervalMs = intervalMs;
    this.columns = columns;
    this.startMs = new long[intervals];
    this.counts = new long[intervals * columns];
  }

  /** Returns a ring of {@code intervals} intervals with several counts each. */
  static CountRing create(long intervalMs, int intervals, int columns) {
    return new CountRing(intervalMs, intervals, columns);
  }

  void add(long nowMs, int column, long count) {
    long start = nowMs - Math.floorMod(nowMs, intervalMs);
    int slot = (int) Math.floorMod(nowMs / intervalMs, (long) startMs.length);
    if (startMs[slot] < start) {
      startMs[slot] = start;
      Arrays.fill(counts, slot * columns, (slot + 1) * columns, 0);
    }
    if (startMs[slot] == start) {
      counts[slot * columns + column] += count;
    }
  }

  /** Returns the sum of a column over the intervals that began after {@code nowMs - lengthMs}. */
  long sum(long nowMs, int column, long lengthMs) {
    long sum = 0;
    for (int i = 0; i < startMs.length; i++) {
      boolean inside = startMs[i] > nowMs - lengthMs && startMs[i] <= nowMs;
      sum += inside ? counts[i * columns + column] : 0;
    }
    return sum;
  }
}
