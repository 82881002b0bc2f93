package org.currantslip.standin.load;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.currantslip.standin.caller.CallerAnswer;

/** Latencies and outcomes of the requests to one target. */
final class LoadStats {
  private static final long MAX_NANOS = 120_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_MS = 1e6;

  @GuardedBy("this")
  private final Histogram firstByte = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);

  @GuardedBy("this")
  private final Histogram total = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);

  @GuardedBy("this")
  private final Map<String, Integer> outcomes = new TreeMap<>();

  @GuardedBy("this")
  private int incomplete;

  /** Records an answer; {@code delayNanos} is how late the request was sent. */
  synchronized void add(CallerAnswer answer, boolean complete, long delayNanos) {
    firstByte.recordValue(bounded(answer.firstByteNanos() + delayNanos));
    total.recordValue(bounded(answer.totalNanos() + delayNanos));
    String outcome =
        answer.failure().isEmpty()
            ? "status=%d code=%d ran=%s".formatted(answer.status(), answer.code(), answer.ran())
            : answer.failure().replaceAll("[0-9@].*", "");
    outcomes.merge(outcome, 1, Integer::sum);
    boolean claimsSuccess = answer.failure().isEmpty() && answer.status() == 200;
    if (claimsSuccess && !complete) {
      incomplete++;
    }
  }

  synchronized long count() {
    return total.getTotalCount();
  }

  /** Returns the number of answers with status 200 that are incomplete or of another prompt. */
  synchronized int incomplete() {
    return incomplete;
  }

  synchronized double firstByteMs(double percentile) {
    return firstByte.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  synchronized double totalMs(double percentile) {
    return total.getValueAtPercentile(percentile) / NANOS_PER_MS;
  }

  synchronized String outcomes() {
    return outcomes.toString();
  }

  private static long bounded(long nanos) {
    return Math.max(0, Math.min(nanos, MAX_NANOS));
  }
}
