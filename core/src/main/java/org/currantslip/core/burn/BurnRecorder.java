package org.currantslip.core.burn;

import java.util.LinkedHashMap;
import java.util.Map;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.request.RequestOutcome;
import org.currantslip.schema.BurnSnapshot;
import org.currantslip.schema.NodeId;

/**
 * Records service-level counts per client account and task on this node.
 *
 * <p>Only requests that the service is responsible for are counted: requests with a wrong token or
 * a malformed body, or beyond the account's own rate limit, are caller errors.
 */
public final class BurnRecorder {
  /** Name under which accounts and tasks beyond the series limit are aggregated. */
  public static final String OTHER = "(other)";

  private static final int MAX_SERIES = 256;
  private static final int FIRST_SERVICE_ERROR_CODE = 3000;

  private final Clock clock;
  private final ConfigSource config;
  private final Map<SeriesKey, BurnSeries> series = new LinkedHashMap<>();

  private BurnRecorder(Clock clock, ConfigSource config) {
    this.clock = clock;
    this.config = config;
  }

  private record SeriesKey(String account, String task) {}

  /** Creates a recorder without counts. */
  public static BurnRecorder create(Clock clock, ConfigSource config) {
    return new BurnRecorder(clock, config);
  }

  /** Records the outcome of a completed request. */
  public void record(RequestOutcome outcome) {
    if (!isServiceOutcome(outcome.code())) {
      return;
    }
    long now = clock.nowMs();
    BurnSeries row = seriesFor(outcome.account(), outcome.task());
    row.add(now, BurnSeries.REQUESTS, 1);
    row.add(now, BurnSeries.COST_MICROS, outcome.costMicros());
    if (isFailure(outcome)) {
      row.add(now, BurnSeries.FAILURES, 1);
    }
    if (outcome.code() == ResultCode.OK) {
      row.addLatency(now, outcome.firstByteMs());
    }
    if (!outcome.version().isEmpty()) {
      row.addVersionRequest(outcome.model(), outcome.version());
    }
  }

  /** Records a rating of an answer. */
  public void recordRating(String account, String task, boolean good) {
    long now = clock.nowMs();
    BurnSeries row = seriesFor(account, task);
    row.add(now, BurnSeries.RATED, 1);
    row.add(now, BurnSeries.GOOD, good ? 1 : 0);
  }

  /** Returns a snapshot of the counts of this node. */
  public BurnSnapshot snapshot(NodeId self) {
    long now = clock.nowMs();
    BurnSnapshot.Builder snapshot = BurnSnapshot.newBuilder().setNode(self).setAtMs(now);
    series.forEach(
        (key, row) ->
            snapshot.addCounts(row.export(now).setAccount(key.account()).setTask(key.task())));
    return snapshot.build();
  }

  private boolean isFailure(RequestOutcome outcome) {
    if (outcome.code() != ResultCode.OK) {
      return true;
    }
    return config
        .current()
        .rules()
        .serviceLevel(outcome.account(), outcome.task())
        .filter(l -> outcome.firstByteMs() > l.latencyMs())
        .isPresent();
  }

  private static boolean isServiceOutcome(ResultCode code) {
    return code == ResultCode.OK
        || (code.number() >= FIRST_SERVICE_ERROR_CODE
            && code != ResultCode.RATE_LIMITED
            && code != ResultCode.TOKEN_LIMITED);
  }

  private BurnSeries seriesFor(String account, String task) {
    SeriesKey key = new SeriesKey(account, task);
    boolean hasCapacity = series.size() < MAX_SERIES || series.containsKey(key);
    return series.computeIfAbsent(
        hasCapacity ? key : new SeriesKey(OTHER, OTHER), k -> new BurnSeries());
  }
}
