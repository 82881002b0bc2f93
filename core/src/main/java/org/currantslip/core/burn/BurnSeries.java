package org.currantslip.core.burn;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.IntCountsHistogram;
import org.currantslip.schema.BurnBucket;
import org.currantslip.schema.BurnCounts;

/** Counts and latency histograms of one client account and task on one node. */
final class BurnSeries {
  static final int REQUESTS = 0;
  static final int FAILURES = 1;
  static final int COST_MICROS = 2;
  static final int RATED = 3;
  static final int GOOD = 4;
  static final long MINUTE_MS = 60_000;
  static final long HOUR_MS = 60 * MINUTE_MS;
  static final long MAX_WINDOW_MS = 72 * HOUR_MS;

  private static final int COLUMNS = 5;
  private static final int MINUTE_BUCKETS = 61;
  private static final int HOUR_BUCKETS = 73;
  private static final int MAX_VERSIONS = 64;

  private final CountRing minutes = CountRing.create(MINUTE_MS, MINUTE_BUCKETS, COLUMNS);
  private final CountRing hours = CountRing.create(HOUR_MS, HOUR_BUCKETS, COLUMNS);
  private final Map<VersionKey, Long> requestsByVersion = new HashMap<>();
  private IntCountsHistogram currentLatencies = newHistogram();
  private IntCountsHistogram previousLatencies = newHistogram();
  private long currentHour;

  record VersionKey(String model, String version) {}

  void add(long nowMs, int column, long count) {
    minutes.add(nowMs, column, count);
    hours.add(nowMs, column, count);
  }

  void addLatency(long nowMs, long latencyMs) {
    rotateHistograms(nowMs);
    currentLatencies.recordValue(Math.max(0, Math.min(Latencies.MAX_LATENCY_MS, latencyMs)));
  }

  void addVersionRequest(String model, String version) {
    VersionKey key = new VersionKey(model, version);
    if (requestsByVersion.size() < MAX_VERSIONS || requestsByVersion.containsKey(key)) {
      requestsByVersion.merge(key, 1L, Long::sum);
    }
  }

  /** Exports all counts for the report across all nodes. */
  BurnCounts.Builder export(long nowMs) {
    BurnCounts.Builder counts = BurnCounts.newBuilder();
    minutes.forEach(
        nowMs - MINUTE_BUCKETS * MINUTE_MS,
        (startMs, values) -> counts.addMinute(bucket(startMs, values)));
    hours.forEach(
        nowMs - HOUR_BUCKETS * HOUR_MS,
        (startMs, values) -> counts.addHour(bucket(startMs, values)));
    requestsByVersion.forEach(
        (key, requests) ->
            counts
                .addVersionBuilder()
                .setModel(key.model())
                .setVersion(key.version())
                .setRequests(requests));
    rotateHistograms(nowMs);
    Histogram latencies = Latencies.empty();
    latencies.add(currentLatencies);
    latencies.add(previousLatencies);
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

  private void rotateHistograms(long nowMs) {
    long hour = nowMs / HOUR_MS;
    if (hour > currentHour) {
      previousLatencies = hour == currentHour + 1 ? currentLatencies : newHistogram();
      currentLatencies = newHistogram();
      currentHour = hour;
    }
  }

  private static IntCountsHistogram newHistogram() {
    return new IntCountsHistogram(Latencies.MAX_LATENCY_MS, Latencies.SIGNIFICANT_DIGITS);
  }
}
