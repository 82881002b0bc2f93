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
 * Counts on this node how well each client account and task is served.
 *
 * <p>Only requests that the service is answerable for are counted: a wrong token, a malformed body
 * or an account past its own rate limit says nothing about the service.
 */
public final class BurnRecorder {
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

  /** Returns the counts of this node. */
  public BurnSnapshot snapshot(NodeId self) {
    long now = clock.nowMs();
    BurnSnapshot.Builder snapshot = BurnSnapshot.newBuilder().setNode(self).setAtMs(now);
    series.forEach(
        (key, row) ->
            snapshot.addCounts(row.export(now).setAccount(key.account()).setTask(key.task())));
    return snapshot.build();
  }

  private boolean failed(RequestOutcome outcome) {
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
