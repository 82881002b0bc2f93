package org.currantslip.core.burn;

import java.util.Arrays;

/** Ring buffer of counts per time interval, with a fixed number of intervals. */
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

  /** Creates a ring of {@code intervals} intervals with {@code columns} counts each. */
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

  /** Passes each interval that starts after {@code sinceMs} to the sink. */
  void forEach(long sinceMs, IntervalSink sink) {
    for (int i = 0; i < startMs.length; i++) {
      if (startMs[i] > sinceMs) {
        sink.accept(startMs[i], Arrays.copyOfRange(counts, i * columns, (i + 1) * columns));
      }
    }
  }

  /** Receives the counts of one interval. */
  @FunctionalInterface
  interface IntervalSink {
    /** Receives the start time and the counts of an interval, one per column. */
    void accept(long startMs, long[] counts);
  }
}
