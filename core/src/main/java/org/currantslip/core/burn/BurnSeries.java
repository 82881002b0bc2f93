package org.currantslip.core.burn;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;
import org.currantslip.schema.BurnBucket;
import org.currantslip.schema.BurnCounts;

/** Counts and latencies of one client account and task on one node. */
final class BurnSeries {
  static final int REQUESTS = 0;
  static final int FAILURES = 1;
  static final int COST_MICROS = 2;
  static final int RATED = 3;
  static final int GOOD = 4;
  static final long MINUTE_MS = 60_000;
  static final long HOUR_MS = 60 * MINUTE_MS;
  static final long LONGEST_MS = 72 * HOUR_MS;

  private static final int COLUMNS = 5;
  private static final int MINUTES = 61;
  private static final int HOURS = 73;
  private static final int MAX_VERSIONS = 64;

  private final CountRing minutes = CountRing.create(MINUTE_MS, MINUTES, COLUMNS);
  private final CountRing hours = CountRing.create(HOUR_MS, HOURS, COLUMNS);
  private final Map<VersionKey, Long> byVersion = new HashMap<>();
  private IntCountsHistogram current = histogram();
  private IntCountsHistogram previous = histogram();
  private long currentHour;

  record VersionKey(String model, String version) {}

  void add(long nowMs, int column, long count) {
    minutes.add(nowMs, column, count);
    hours.add(nowMs, column, count);
  }

  void latency(long nowMs, long latencyMs) {
    turn(nowMs);
    current.recordValue(Math.max(0, Math.min(Latencies.MAX_MS, latencyMs)));
  }

  void version(String model, String version) {
    VersionKey key = new VersionKey(model, version);
    if (byVersion.size() < MAX_VERSIONS || byVersion.containsKey(key)) {
      byVersion.merge(key, 1L, Long::sum);
    }
  }

  /** Returns all counts, for the report over all nodes. */
  BurnCounts.Builder export(long nowMs) {
    BurnCounts.Builder counts = BurnCounts.newBuilder();
    minutes.forEach(nowMs - MINUTES * MINUTE_MS, (s, c) -> counts.addMinute(bucket(s, c)));
    hours.forEach(nowMs - HOURS * HOUR_MS, (s, c) -> counts.addHour(bucket(s, c)));
    byVersion.forEach(
        (key, requests) ->
            counts
                .addVersionBuilder()
                .setModel(key.model())
                .setVersion(key.version())
                .setRequests(requests));
    turn(nowMs);
    Histogram latencies = Latencies.empty();
    latencies.add(current);
    latencies.add(previous);
    return counts.setLatencyHistogram(Latencies.encode(latencies));
  }

  private static BurnBucket bucket(long startMs, long[] counts) {
    return BurnBucket.newBuilder()
        .setStartMs(startMs)
        .setRequests(counts[REQUESTS])
        .setFailures(counts[FAILURES])
        .setCostMicros(counts[COST_MICROS])
        .setRated(counts[RATED])
        .setRatedGood(counts[GOOD])
        .build();
  }

  private void turn(long nowMs) {
    long hour = nowMs / HOUR_MS;
    if (hour > currentHour) {
      previous = hour == currentHour + 1 ? current : histogram();
      current = histogram();
      currentHour = hour;
    }
  }

  private static IntCountsHistogram histogram() {
    return new IntCountsHistogram(Latencies.MAX_MS, Latencies.DIGITS);
  }
}
