package org.currantslip.node.edge;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.LogEvent;
import org.currantslip.core.directory.DirectoryAnswer;
import org.currantslip.core.directory.LookUp;
import org.currantslip.core.directory.LookUpResult;
import org.currantslip.core.directory.NodeDirectory;
import org.currantslip.core.membership.HeartbeatMembership;
import org.currantslip.core.membership.NodeReport;
import org.currantslip.core.route.RouteTable;
import org.currantslip.node.log.EventLog;
import org.currantslip.node.metrics.NodeMetrics;
import org.currantslip.schema.NodeRecord;

/**
 * Answers look-ups on the threads of the management server from a directory that the decision
 * thread publishes, and counts those that fail.
 */
final class DirectoryLookUps {
  /** Callers wait about a second for an answer; beyond half of it some may have given up. */
  private static final long SLOW_MS = 500;

  /** Several heartbeat intervals and the time that reports take through a large fleet. */
  private static final long MAX_REPORT_AGE_MS = 10_000;

  private static final long LOG_INTERVAL_MS = 1_000;

  /** Age of the reports of nodes in answers; changes of the nodes themselves do not wait. */
  private static final long REFRESH_MS = 500;

  private final Clock clock;
  private final NodeMetrics metrics;
  private final Consumer<Boolean> lookUpListener;
  private final Map<LookUpResult, AtomicLong> counts = new EnumMap<>(LookUpResult.class);
  private final Map<LookUpResult, Long> logged = new EnumMap<>(LookUpResult.class);
  private volatile NodeDirectory directory = NodeDirectory.empty();
  private List<NodeRecord> publishedNodes = List.of();
  private long nextLogMs;
  private long nextRefreshMs;
  private long publishedVersion;

  private DirectoryLookUps(Clock clock, NodeMetrics metrics, Consumer<Boolean> lookUpListener) {
    this.clock = clock;
    this.metrics = metrics;
    this.lookUpListener = lookUpListener;
    for (LookUpResult result : LookUpResult.values()) {
      counts.put(result, new AtomicLong());
    }
  }

  /**
   * Creates look-ups without a node.
   *
   * @param lookUpListener told on any thread of each look-up, and whether it named a node
   */
  static DirectoryLookUps create(
      Clock clock, NodeMetrics metrics, Consumer<Boolean> lookUpListener) {
    return new DirectoryLookUps(clock, metrics, lookUpListener);
  }

  DirectoryAnswer answer(LookUp lookUp) {
    return directory.answer(lookUp);
  }

  /** Counts a look-up that is answered now; may be called on any thread. */
  void onAnswered(DirectoryAnswer answer, long beganNanos) {
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
    boolean slow = answer.result() == LookUpResult.ANSWERED && tookMs >= SLOW_MS;
    LookUpResult result = slow ? LookUpResult.SLOW : answer.result();
    AtomicLong count = counts.get(result);
    if (count != null) {
      count.incrementAndGet();
    }
    metrics.recordLookUp(result);
    lookUpListener.accept(answer.result() == LookUpResult.ANSWERED);
  }

  /** Publishes the nodes that callers may be directed to, and logs failed look-ups. */
  void publish(HeartbeatMembership membership, Supplier<RouteTable> routes) {
    long nowMs = clock.nowMs();
    if (nowMs >= nextLogMs) {
      nextLogMs = nowMs + LOG_INTERVAL_MS;
      logFailures();
    }
    List<NodeRecord> nodes = membership.entryNodes();
    long version = routes.get().version();
    if (nodes == publishedNodes && version == publishedVersion && nowMs < nextRefreshMs) {
      return;
    }
    publishedNodes = nodes;
    publishedVersion = version;
    nextRefreshMs = nowMs + REFRESH_MS;
    List<NodeDirectory.Entry> entries =
        nodes.stream()
            .map(node -> new NodeDirectory.Entry(node, report(membership, node.getId().getName())))
            .toList();
    directory =
        NodeDirectory.of(
            membership.self().getId().getName(),
            entries,
            membership.live().size() - 1,
            routes.get(),
            nowMs);
  }

  private static NodeReport report(HeartbeatMembership membership, String name) {
    return membership.report(name, MAX_REPORT_AGE_MS);
  }

  private void logFailures() {
    counts.forEach(
        (result, count) -> {
          long current = count.get();
          long before = logged.getOrDefault(result, 0L);
          if (result != LookUpResult.ANSWERED && current > before) {
            EventLog.write(
                LogEvent.LOOKUPS_FAILED,
                "reason=%s count=%d total=%d".formatted(result, current - before, current));
          }
          logged.put(result, current);
        });
  }
}
