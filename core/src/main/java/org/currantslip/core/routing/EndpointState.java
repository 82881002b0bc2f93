package org.currantslip.core.routing;

import java.util.Arrays;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/** What this node knows of one endpoint. */
final class EndpointState {
  private static final int SLICES = 32;
  private static final long SLICE_MS = 100;
  private static final int PREFIX_SETS = 64;
  private static final int PREFIX_WAYS = 4;
  private static final double SMOOTHING = 0.1;
  private static final double START_SERVICE_MS = 500;
  private static final int EJECT_AFTER_FAILURES = 3;
  private static final long FIRST_EJECTION_MS = 1000;
  private static final long LAST_EJECTION_MS = 30_000;

  /** Half-life of the share of failures, so that an avoided endpoint is tried again. */
  private static final double FAULT_HALF_TIME_MS = 4_000;

  /** Prompts that waited at the time of a report are read within about this time. */
  private static final double REPORT_HALF_TIME_MS = 400;

  /** Longer than the pause between two probes of an ejected endpoint. */
  private static final long UNREACHABLE_MS = 1_500;

  /** Weight of one outcome in the share of failures. */
  private static final double FAULT_SMOOTHING = 0.15;

  private EndpointRecord rec;
  private @Nullable EndpointLoad load;
  private final int[] changes = new int[SLICES];
  private long slice;
  private final long[] prefixes = new long[PREFIX_SETS * PREFIX_WAYS];
  private int inFlight;
  private double serviceMs = START_SERVICE_MS;
  private int failures;
  private long ejectionMs = FIRST_EJECTION_MS;
  private long ejectedUntilMs;
  private boolean probing;
  private final PartCache parts = PartCache.create();
  private int pending;
  private double pendingMs;
  private int pendingAtReport;
  private double faultShare;
  private long faultAtMs;
  private long unreachableMs;

  EndpointState(EndpointRecord rec) {
    this.rec = rec;
  }

  EndpointRecord rec() {
    return rec;
  }

  void setRec(EndpointRecord rec) {
    this.rec = rec;
  }

  @Nullable EndpointLoad load() {
    return load;
  }

  void setLoad(EndpointLoad report) {
    if (load == null || load.reportedMs() <= report.reportedMs()) {
      load = report;
      pendingAtReport = pending;
    }
  }

  private void count(long nowMs, int change) {
    long now = nowMs / SLICE_MS;
    if (now - slice >= SLICES) {
      Arrays.fill(changes, 0);
      slice = now;
    }
    while (slice < now) {
      slice++;
      changes[(int) (slice % SLICES)] = 0;
    }
    changes[(int) (now % SLICES)] += change;
  }

  void dispatched(long nowMs) {
    inFlight++;
    probing = ejectedUntilMs > 0;
    count(nowMs, 1);
  }

  void finished(long nowMs, CallResult result) {
    inFlight = Math.max(0, inFlight - 1);
    probing = false;
    count(nowMs, -1);
    if (result.declined()) {
      return;
    }
    faultShare = faultShare(nowMs);
    faultShare += FAULT_SMOOTHING * ((result.ok() ? 0 : 1) - faultShare);
    faultAtMs = nowMs;
    if (result.ok()) {
      unreachableMs = 0;
      serviceMs += SMOOTHING * (result.totalMs() - serviceMs);
      failures = 0;
      ejectedUntilMs = 0;
      ejectionMs = FIRST_EJECTION_MS;
      return;
    }
    failures++;
    if (result.silent() || failures >= EJECT_AFTER_FAILURES) {
      ejectedUntilMs = nowMs + ejectionMs;
      ejectionMs = Math.min(LAST_EJECTION_MS, 2 * ejectionMs);
    }
  }

  /** A connection failed: the endpoint gets nothing until a probe shows that it is back. */
  void unreachable(long nowMs) {
    unreachableMs = nowMs;
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + FIRST_EJECTION_MS);
  }

  /** Returns whether a connection failed lately and no request was answered since. */
  boolean isUnreachable(long nowMs) {
    return unreachableMs > 0 && nowMs - unreachableMs < UNREACHABLE_MS;
  }

  /** Returns whether requests may go here; an ejected endpoint gets one probe at a time. */
  boolean usable(long nowMs) {
    return !rec.getLeaving() && (ejectedUntilMs == 0 || (nowMs >= ejectedUntilMs && !probing));
  }

  /** Returns the requests believed to be running or waiting. */
  double occupancy(long nowMs) {
    if (load == null) {
      return inFlight;
    }
    long from = Math.max(load.reportedMs() / SLICE_MS + 1, nowMs / SLICE_MS - SLICES + 1);
    int since = 0;
    for (long s = from; s <= slice; s++) {
      since += changes[(int) (s % SLICES)];
    }
    return Math.max(inFlight, load.running() + load.waiting() + since);
  }

  /** Returns how long a new request waits for a slot. */
  double waitMs(long nowMs) {
    int slots = Math.max(1, rec.getSlots());
    double ahead = occupancy(nowMs) - slots + 1;
    double queue = Math.max(0, ahead) * serviceMs / slots;
    return queue + serviceMs * occupancy(nowMs) / slots / 100;
  }

  /** Returns the share of recent requests that failed here; it fades with time. */
  double faultShare(long nowMs) {
    return faultShare * Math.pow(0.5, (nowMs - faultAtMs) / FAULT_HALF_TIME_MS);
  }

  /** Returns the parts of prompts that this endpoint is believed to keep. */
  PartCache parts() {
    return parts;
  }

  /** Counts a prompt of this node's that the endpoint has yet to read, or that it has read. */
  void addPending(int prompts, double ms) {
    pending = Math.max(0, pending + prompts);
    pendingMs = pending == 0 ? 0 : Math.max(0, pendingMs + ms);
  }

  /**
   * Returns how long the endpoint takes to read the prompts that it has.
   *
   * @param meanMs time that a prompt of another node takes
   */
  double readingMs(long nowMs, double meanMs) {
    if (load == null) {
      return pendingMs;
    }
    double freshness = Math.pow(0.5, (nowMs - load.reportedMs()) / REPORT_HALF_TIME_MS);
    double others = Math.max(0, load.waiting() - pendingAtReport) * freshness;
    return pendingMs + others * meanMs;
  }

  /** Returns how many more requests find a place at once. */
  int freePlaces(long nowMs) {
    return (int) Math.max(0, rec.getSlots() - Math.ceil(occupancy(nowMs)));
  }

  boolean holdsPrefix(long hash) {
    int set = set(hash);
    for (int i = 0; i < PREFIX_WAYS; i++) {
      if (prefixes[set + i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Notes a prefix as the most recently used one of its set. */
  void addPrefix(long hash) {
    int set = set(hash);
    int at = PREFIX_WAYS - 1;
    for (int i = 0; i < PREFIX_WAYS; i++) {
      if (prefixes[set + i] == hash) {
        at = i;
        break;
      }
    }
    System.arraycopy(prefixes, set, prefixes, set + 1, at);
    prefixes[set] = hash;
  }

  private static int set(long hash) {
    return (int) (hash >>> 58) % PREFIX_SETS * PREFIX_WAYS;
  }
}
