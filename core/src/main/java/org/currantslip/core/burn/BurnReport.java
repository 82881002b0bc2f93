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
 * Service levels over all nodes, from the counts of each.
 *
 * <p>Counts are summed and histograms merged before rates and percentiles are taken.
 */
public final class BurnReport {
  private static final List<Long> WINDOWS_MS =
      List.of(
          5 * BurnSeries.MINUTE_MS,
          BurnSeries.HOUR_MS,
          6 * BurnSeries.HOUR_MS,
          BurnSeries.LONGEST_MS);
  private static final long LATENCY_MS = 2 * BurnSeries.HOUR_MS;
  private static final double MEDIAN = 50;
  private static final double HIGH = 99;

  private final ConfigView config;
  private final long nowMs;
  private final Map<String, Sum> sums = new TreeMap<>();

  private BurnReport(ConfigView config, long nowMs) {
    this.config = config;
    this.nowMs = nowMs;
  }

  /** Counts of one client account and task over the nodes added so far. */
  private static final class Sum {
    private final String account;
    private final String task;
    private final List<BurnBucket> minutes = new ArrayList<>();
    private final List<BurnBucket> hours = new ArrayList<>();
    private final Histogram latencies = Latencies.empty();
    private long badVersionRequests;

    Sum(String account, String task) {
      this.account = account;
      this.task = task;
    }
  }

  /** Returns an empty report, judged by the targets of a configuration. */
  public static BurnReport create(ConfigView config, long nowMs) {
    return new BurnReport(config, nowMs);
  }

  /** Adds the counts of one incarnation of a node. */
  public void add(BurnSnapshot snapshot) {
    snapshot.getCountsList().forEach(c -> add(c, snapshot.getAtMs()));
  }

  private void add(BurnCounts counts, long atMs) {
    Sum sum =
        sums.computeIfAbsent(
            counts.getAccount() + " " + counts.getTask(),
            k -> new Sum(counts.getAccount(), counts.getTask()));
    sum.minutes.addAll(counts.getMinuteList());
    sum.hours.addAll(counts.getHourList());
    if (atMs > nowMs - LATENCY_MS) {
      sum.latencies.add(Latencies.decode(counts.getLatencyHistogram()));
    }
    sum.badVersionRequests +=
        counts.getVersionList().stream()
            .filter(v -> config.rules().withdrawn(v.getModel(), v.getVersion()).isPresent())
            .mapToLong(v -> v.getRequests())
            .sum();
  }

  /** Returns the rows of the report, in order of account and task. */
  public BurnReply reply() {
    return BurnReply.newBuilder().addAllRow(sums.values().stream().map(this::row).toList()).build();
  }

  private BurnRow row(Sum sum) {
    Optional<Rule.ServiceLevel> level = config.rules().serviceLevel(sum.account, sum.task);
    double target = level.map(Rule.ServiceLevel::availability).orElse(0.0);
    long longest = BurnSeries.LONGEST_MS;
    long rated = total(sum, longest, BurnBucket::getRated);
    long good = total(sum, longest, BurnBucket::getRatedGood);
    BurnRow.Builder row =
        BurnRow.newBuilder()
            .setAccount(sum.account)
            .setTask(sum.task)
            .setTarget(target)
            .setRequests(total(sum, longest, BurnBucket::getRequests))
            .setBadVersionRequests(sum.badVersionRequests)
            .setCostMicros(total(sum, longest, BurnBucket::getCostMicros))
            .setRated(rated)
            .setRatedGood(good)
            .setQuality(rated == 0 ? 0 : (double) good / rated)
            .setP50Ms(sum.latencies.getValueAtPercentile(MEDIAN))
            .setP99Ms(sum.latencies.getValueAtPercentile(HIGH))
            .setLatencyHistogram(Latencies.encode(sum.latencies));
    WINDOWS_MS.forEach(length -> row.addWindow(window(sum, length, 1 - target)));
    double burned = row.getWindow(WINDOWS_MS.size() - 1).getBurnRate();
    return row.setBudgetLeft(level.isPresent() ? 1 - burned : 0).build();
  }

  private BurnWindow window(Sum sum, long lengthMs, double allowed) {
    long requests = total(sum, lengthMs, BurnBucket::getRequests);
    long failures = total(sum, lengthMs, BurnBucket::getFailures);
    boolean targeted = allowed > 0 && allowed < 1 && requests > 0;
    return BurnWindow.newBuilder()
        .setLengthMs(lengthMs)
        .setRequests(requests)
        .setFailures(failures)
        .setBurnRate(targeted ? (double) failures / requests / allowed : 0)
        .build();
  }

  private long total(Sum sum, long lengthMs, ToLongFunction<BurnBucket> count) {
    List<BurnBucket> buckets = lengthMs <= BurnSeries.HOUR_MS ? sum.minutes : sum.hours;
    return buckets.stream().filter(b -> b.getStartMs() > nowMs - lengthMs).mapToLong(count).sum();
  }
}
