package org.currantslip.core.burn;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.request.RequestOutcome;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.BurnReply;
import org.currantslip.schema.BurnRow;
import org.currantslip.schema.BurnWindow;

/**
 * Counts on this node how well each client account and task is served.
 *
 * <p>Only requests that the service is answerable for are counted: a wrong token, a malformed body
 * or an account past its own rate limit says nothing about the service.
 */
public final class BurnRecorder {
  /** Lengths of the windows of a report. */
  public static final List<Long> WINDOWS_MS =
      List.of(
          5 * BurnSeries.MINUTE_MS,
          BurnSeries.HOUR_MS,
          6 * BurnSeries.HOUR_MS,
          BurnSeries.LONGEST_MS);

  /** Name under which accounts and tasks past the bound are counted together. */
  public static final String OTHER = "(other)";

  private static final int MAX_SERIES = 256;
  private static final int CALLER_CODES_BELOW = 3000;

  private final Clock clock;
  private final ConfigSource config;
  private final Map<Key, BurnSeries> series = new LinkedHashMap<>();

  private BurnRecorder(Clock clock, ConfigSource config) {
    this.clock = clock;
    this.config = config;
  }

  private record Key(String account, String task) {}

  /** Returns a recorder without counts. */
  public static BurnRecorder create(Clock clock, ConfigSource config) {
    return new BurnRecorder(clock, config);
  }

  /** Counts the end of a request. */
  public void record(RequestOutcome outcome) {
    if (!counts(outcome.code())) {
      return;
    }
    long now = clock.nowMs();
    BurnSeries row = series(outcome.account(), outcome.task());
    row.add(now, BurnSeries.REQUESTS, 1);
    row.add(now, BurnSeries.COST_MICROS, outcome.costMicros());
    if (failed(outcome)) {
      row.add(now, BurnSeries.FAILURES, 1);
    }
    if (outcome.code() == ResultCode.OK) {
      row.latency(now, outcome.firstByteMs());
    }
    if (!outcome.version().isEmpty()) {
      row.version(outcome.model(), outcome.version());
    }
  }

  /** Counts a rating of an answer. */
  public void rated(String account, String task, boolean good) {
    long now = clock.nowMs();
    BurnSeries row = series(account, task);
    row.add(now, BurnSeries.RATED, 1);
    row.add(now, BurnSeries.GOOD, good ? 1 : 0);
  }

  /** Returns the counts of this node, judged by the targets of a configuration. */
  public BurnReply report(ConfigView view) {
    List<BurnRow> rows =
        series.entrySet().stream()
            .map(e -> row(e.getKey(), e.getValue(), view))
            .sorted(Comparator.comparing(BurnRow::getAccount).thenComparing(BurnRow::getTask))
            .toList();
    return BurnReply.newBuilder().addAllRow(rows).build();
  }

  private BurnRow row(Key key, BurnSeries row, ConfigView view) {
    long now = clock.nowMs();
    Histogram latencies = row.latencies(now);
    long rated = row.sum(now, BurnSeries.RATED, BurnSeries.LONGEST_MS);
    long good = row.sum(now, BurnSeries.GOOD, BurnSeries.LONGEST_MS);
    long bad =
        row.byVersion().entrySet().stream()
            .filter(
                e -> view.rules().withdrawn(e.getKey().model(), e.getKey().version()).isPresent())
            .mapToLong(Map.Entry::getValue)
            .sum();
    BurnRow.Builder built =
        BurnRow.newBuilder()
            .setAccount(key.account())
            .setTask(key.task())
            .setTarget(level(view, key).map(Rule.ServiceLevel::availability).orElse(0.0))
            .setRequests(row.sum(now, BurnSeries.REQUESTS, BurnSeries.LONGEST_MS))
            .setBadVersionRequests(bad)
            .setCostMicros(row.sum(now, BurnSeries.COST_MICROS, BurnSeries.LONGEST_MS))
            .setRated(rated)
            .setRatedGood(good)
            .setLatencyHistogram(BurnMerger.encode(latencies));
    WINDOWS_MS.forEach(
        length ->
            built.addWindow(
                BurnWindow.newBuilder()
                    .setLengthMs(length)
                    .setRequests(row.sum(now, BurnSeries.REQUESTS, length))
                    .setFailures(row.sum(now, BurnSeries.FAILURES, length))));
    return BurnMerger.judged(built);
  }

  private boolean failed(RequestOutcome outcome) {
    if (outcome.code() != ResultCode.OK) {
      return true;
    }
    return level(config.current(), new Key(outcome.account(), outcome.task()))
        .filter(l -> outcome.firstByteMs() > l.latencyMs())
        .isPresent();
  }

  private static Optional<Rule.ServiceLevel> level(ConfigView view, Key key) {
    return view.rules().serviceLevel(key.account(), key.task());
  }

  private static boolean counts(ResultCode code) {
    return code == ResultCode.OK
        || (code.number() >= CALLER_CODES_BELOW
            && code != ResultCode.RATE_LIMITED
            && code != ResultCode.TOKEN_LIMITED);
  }

  private BurnSeries series(String account, String task) {
    Key key = new Key(account, task);
    boolean room = series.size() < MAX_SERIES || series.containsKey(key);
    return series.computeIfAbsent(room ? key : new Key(OTHER, OTHER), k -> new BurnSeries());
  }
}
