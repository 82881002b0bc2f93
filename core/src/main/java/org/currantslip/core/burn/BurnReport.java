package org.currantslip.core.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.BurnBucket;
import org.currantslip.schema.BurnCounts;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnRow;
import org.currantslip.schema.BurnSnapshot;
import org.currantslip.schema.BurnWindow;

/**
 * Service levels across all nodes, aggregated from the counts of each node.
 *
 * <p>Counts are summed and histograms merged before rates and percentiles are computed.
 */
public final class BurnReport {
  private static final List<Long> WINDOWS_MS =
      List.of(
          5 * BurnSeries.MINUTE_MS,
          BurnSeries.HOUR_MS,
          6 * BurnSeries.HOUR_MS,
          BurnSeries.MAX_WINDOW_MS);
  private static final long MAX_LATENCY_AGE_MS = 2 * BurnSeries.HOUR_MS;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double HIGH_PERCENTILE = 99;

  private final ConfigView config;
  private final long nowMs;
  private final Map<String, Totals> totalsByKey = new TreeMap<>();

  private BurnReport(ConfigView config, long nowMs) {
    this.config = config;
    this.nowMs = nowMs;
  }

  /** Aggregated counts of one client account and task. */
  private static final class Totals {
    private final String account;
    private final String task;
    private final List<BurnBucket> minutes = new ArrayList<>();
    private final List<BurnBucket> hours = new ArrayList<>();
    private final Histogram latencies = Latencies.empty();
    private long badVersionRequests;

    Totals(String account, String task) {
      this.account = account;
      this.task = task;
    }
  }

  /** Creates an empty report evaluated against the targets of a configuration. */
  public static BurnReport create(ConfigView config, long nowMs) {
    return new BurnReport(config, nowMs);
  }

  /** Adds the counts of one incarnation of a node. */
  public void add(BurnSnapshot snapshot) {
    snapshot.getCountsList().forEach(c -> add(c, snapshot.getAtMs()));
  }

  private void add(BurnCounts counts, long atMs) {
    Totals totals =
        totalsByKey.computeIfAbsent(
            counts.getAccount() + " " + counts.getTask(),
            k -> new Totals(counts.getAccount(), counts.getTask()));
    totals.minutes.addAll(counts.getMinuteList());
    totals.hours.addAll(counts.getHourList());
    if (atMs > nowMs - MAX_LATENCY_AGE_MS) {
      totals.latencies.add(Latencies.decode(counts.getLatencyHistogram()));
    }
    totals.badVersionRequests +=
        counts.getVersionList().stream()
            .filter(v -> config.rules().withdrawRule(v.getModel(), v.getVersion()).isPresent())
            .mapToLong(v -> v.getRequests())
            .sum();
  }

  /** Returns the report with its rows sorted by account and task. */
  public BurnReply reply() {
    return BurnReply.newBuilder()
        .addAllRow(totalsByKey.values().stream().map(this::row).toList())
        .build();
  }

  private BurnRow row(Totals totals) {
    Optional<Rule.ServiceLevel> level = config.rules().serviceLevel(totals.account, totals.task);
    double target = level.map(Rule.ServiceLevel::availability).orElse(0.0);
    long maxWindowMs = BurnSeries.MAX_WINDOW_MS;
    long rated = totalInWindow(totals, maxWindowMs, BurnBucket::getRated);
    long good = totalInWindow(totals, maxWindowMs, BurnBucket::getRatedGood);
    BurnRow.Builder row =
        BurnRow.newBuilder()
            .setAccount(totals.account)
            .setTask(totals.task)
            .setTarget(target)
            .setRequests(totalInWindow(totals, maxWindowMs, BurnBucket::getRequests))
            .setBadVersionRequests(totals.badVersionRequests)
            .setCostMicros(totalInWindow(totals, maxWindowMs, BurnBucket::getCostMicros))
            .setRated(rated)
            .setRatedGood(good)
            .setQuality(rated == 0 ? 0 : (double) good / rated)
            .setP50Ms(totals.latencies.getValueAtPercentile(MEDIAN_PERCENTILE))
            .setP99Ms(totals.latencies.getValueAtPercentile(HIGH_PERCENTILE))
            .setLatencyHistogram(Latencies.encode(totals.latencies));
    WINDOWS_MS.forEach(lengthMs -> row.addWindow(window(totals, lengthMs, 1 - target)));
    double burnedBudget = row.getWindow(WINDOWS_MS.size() - 1).getBurnRate();
    return row.setBudgetLeft(level.isPresent() ? 1 - burnedBudget : 0).build();
  }

  private BurnWindow window(Totals totals, long lengthMs, double errorBudget) {
    long requests = totalInWindow(totals, lengthMs, BurnBucket::getRequests);
    long failures = totalInWindow(totals, lengthMs, BurnBucket::getFailures);
    boolean hasTarget = errorBudget > 0 && errorBudget < 1 && requests > 0;
    return BurnWindow.newBuilder()
        .setLengthMs(lengthMs)
        .setRequests(requests)
        .setFailures(failures)
        .setBurnRate(hasTarget ? (double) failures / requests / errorBudget : 0)
        .build();
  }

  private long totalInWindow(Totals totals, long lengthMs, ToLongFunction<BurnBucket> count) {
    List<BurnBucket> buckets = lengthMs <= BurnSeries.HOUR_MS ? totals.minutes : totals.hours;
    return buckets.stream().filter(b -> b.getStartMs() > nowMs - lengthMs).mapToLong(count).sum();
  }
}
