package org.currantslip.core.routing;

import java.util.Arrays;
import org.currantslip.schema.EndpointRecord;
import org.jspecify.annotations.Nullable;

/** Load, health and prompt cache of one endpoint, as seen by this node. */
final class EndpointState {
  private static final int DELTA_BUCKETS = 32;
  private static final long DELTA_BUCKET_MS = 100;
  private static final int PREFIX_SETS = 64;
  private static final int PREFIX_WAYS = 4;
  private static final double SERVICE_TIME_SMOOTHING = 0.1;
  private static final double INITIAL_SERVICE_MS = 500;
  private static final int EJECTION_FAILURE_THRESHOLD = 3;
  private static final long MIN_EJECTION_MS = 1000;
  private static final long MAX_EJECTION_MS = 30_000;

  /** Half-life of the failure rate, which decays so that an avoided endpoint is tried again. */
  private static final double FAILURE_RATE_HALF_LIFE_MS = 4_000;

  /**
   * Half-life of the queue of a load report: roughly the time in which queued prompts are
   * prefilled.
   */
  private static final double REPORTED_QUEUE_HALF_LIFE_MS = 400;

  /** Exceeds the interval between two probes of an ejected endpoint. */
  private static final long UNREACHABLE_TIMEOUT_MS = 1_500;

  /** Weight of one result in the failure rate. */
  private static final double FAILURE_RATE_SMOOTHING = 0.15;

  private EndpointRecord endpoint;
  private @Nullable EndpointLoad load;
  private final int[] inFlightDeltas = new int[DELTA_BUCKETS];
  private long currentBucket;
  private final long[] prefixes = new long[PREFIX_SETS * PREFIX_WAYS];
  private int inFlight;
  private double serviceMs = INITIAL_SERVICE_MS;
  private int consecutiveFailures;
  private long ejectionMs = MIN_EJECTION_MS;
  private long ejectedUntilMs;
  private boolean probeInFlight;
  private final PromptPartCache promptCache = PromptPartCache.create();
  private int pendingPrompts;
  private double pendingPrefillMs;
  private int pendingPromptsAtReport;
  private double failureRate;
  private long failureRateUpdatedMs;
  private long lastConnectFailureMs;
  private long silentSinceMs;
  private long lastHeardMs;
  private long lastFailureMs;

  EndpointState(EndpointRecord endpoint) {
    this.endpoint = endpoint;
  }

  EndpointRecord endpoint() {
    return endpoint;
  }

  void setEndpoint(EndpointRecord endpoint) {
    this.endpoint = endpoint;
  }

  @Nullable EndpointLoad load() {
    return load;
  }

  void setLoad(EndpointLoad report) {
    if (load == null || load.reportedMs() <= report.reportedMs()) {
      load = report;
      pendingPromptsAtReport = pendingPrompts;
    }
  }

  private void addDelta(long nowMs, int delta) {
    long nowBucket = nowMs / DELTA_BUCKET_MS;
    if (nowBucket - currentBucket >= DELTA_BUCKETS) {
      Arrays.fill(inFlightDeltas, 0);
      currentBucket = nowBucket;
    }
    while (currentBucket < nowBucket) {
      currentBucket++;
      inFlightDeltas[(int) (currentBucket % DELTA_BUCKETS)] = 0;
    }
    inFlightDeltas[(int) (nowBucket % DELTA_BUCKETS)] += delta;
  }

  void onDispatched(long nowMs) {
    if (inFlight == 0) {
      silentSinceMs = nowMs;
    }
    inFlight++;
    probeInFlight = ejectedUntilMs > 0;
    addDelta(nowMs, 1);
  }

  void onFinished(long nowMs, CallResult result) {
    inFlight = Math.max(0, inFlight - 1);
    probeInFlight = false;
    addDelta(nowMs, -1);
    if (result.declined()) {
      return;
    }
    failureRate = failureRate(nowMs);
    failureRate += FAILURE_RATE_SMOOTHING * ((result.ok() ? 0 : 1) - failureRate);
    failureRateUpdatedMs = nowMs;
    if (result.ok()) {
      lastConnectFailureMs = 0;
      serviceMs += SERVICE_TIME_SMOOTHING * (result.totalMs() - serviceMs);
      consecutiveFailures = 0;
      ejectedUntilMs = 0;
      ejectionMs = MIN_EJECTION_MS;
      return;
    }
    consecutiveFailures++;
    lastFailureMs = nowMs;
    boolean ejected = nowMs < ejectedUntilMs;
    if (!ejected && (result.timedOut() || consecutiveFailures >= EJECTION_FAILURE_THRESHOLD)) {
      ejectedUntilMs = nowMs + ejectionMs;
      ejectionMs = Math.min(MAX_EJECTION_MS, 2 * ejectionMs);
    }
  }

  /** Records that the endpoint sent something on any call. */
  void onHeard(long nowMs) {
    silentSinceMs = nowMs;
    lastHeardMs = nowMs;
  }

  /** Returns for how long all open calls have been silent, or zero if there are none. */
  long silentMs(long nowMs) {
    return inFlight == 0 ? 0 : nowMs - silentSinceMs;
  }

  /** Ejects the endpoint after a failed connection until a probe succeeds. */
  void onConnectFailure(long nowMs) {
    lastConnectFailureMs = nowMs;
    lastFailureMs = nowMs;
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + MIN_EJECTION_MS);
  }

  /** Forgets failures since a time, which were not the endpoint's own. */
  void forgiveFailures(long sinceMs) {
    if (lastFailureMs >= sinceMs) {
      lastConnectFailureMs = 0;
      consecutiveFailures = 0;
      ejectedUntilMs = 0;
      ejectionMs = MIN_EJECTION_MS;
      failureRate = 0;
    }
  }

  /** Returns whether a recent connection failed and the endpoint has sent nothing since. */
  boolean isUnreachable(long nowMs) {
    return lastConnectFailureMs > lastHeardMs
        && nowMs - lastConnectFailureMs < UNREACHABLE_TIMEOUT_MS;
  }

  /** Returns whether requests may be sent; an ejected endpoint gets one probe at a time. */
  boolean isUsable(long nowMs) {
    return !endpoint.getLeaving()
        && (ejectedUntilMs == 0 || (nowMs >= ejectedUntilMs && !probeInFlight));
  }

  /** Returns the estimated number of requests running or queued at the endpoint. */
  double occupancy(long nowMs) {
    if (load == null) {
      return inFlight;
    }
    long firstBucket =
        Math.max(
            load.reportedMs() / DELTA_BUCKET_MS + 1, nowMs / DELTA_BUCKET_MS - DELTA_BUCKETS + 1);
    int deltaSinceReport = 0;
    for (long bucket = firstBucket; bucket <= currentBucket; bucket++) {
      deltaSinceReport += inFlightDeltas[(int) (bucket % DELTA_BUCKETS)];
    }
    return Math.max(inFlight, load.running() + load.waiting() + deltaSinceReport);
  }

  /** Returns the mean time of a request at the endpoint. */
  double serviceMs() {
    return serviceMs;
  }

  /** Returns the expected wait of a new request for a slot. */
  double waitMs(long nowMs) {
    int slots = Math.max(1, endpoint.getSlots());
    double excess = occupancy(nowMs) - slots + 1;
    double queueMs = Math.max(0, excess) * serviceMs / slots;
    return queueMs + serviceMs * occupancy(nowMs) / slots / 100;
  }

  /** Returns the smoothed share of failed requests, which decays over time. */
  double failureRate(long nowMs) {
    return failureRate * Math.pow(0.5, (nowMs - failureRateUpdatedMs) / FAILURE_RATE_HALF_LIFE_MS);
  }

  /** Returns the prompt parts that the endpoint is expected to have cached. */
  PromptPartCache promptCache() {
    return promptCache;
  }

  /** Adds to or, with negative values, removes from this node's prompts that await prefill. */
  void addPendingPrompts(int promptDelta, double prefillDeltaMs) {
    pendingPrompts = Math.max(0, pendingPrompts + promptDelta);
    pendingPrefillMs = pendingPrompts == 0 ? 0 : Math.max(0, pendingPrefillMs + prefillDeltaMs);
  }

  /**
   * Returns the time that the endpoint needs to prefill the prompts it has received.
   *
   * @param meanPrefillMs mean prefill time of a prompt sent by another node
   * @param peerPrefillMs prefill time that other nodes have reported as pending
   */
  double prefillBacklogMs(long nowMs, double meanPrefillMs, double peerPrefillMs) {
    if (load == null) {
      return pendingPrefillMs + peerPrefillMs;
    }
    double reportWeight = Math.pow(0.5, (nowMs - load.reportedMs()) / REPORTED_QUEUE_HALF_LIFE_MS);
    double otherNodesPrompts = Math.max(0, load.waiting() - pendingPromptsAtReport) * reportWeight;
    return pendingPrefillMs + Math.max(peerPrefillMs, otherNodesPrompts * meanPrefillMs);
  }

  /** Returns the prefill time of this node's prompts without a first token yet. */
  double pendingPrefillMs() {
    return pendingPrefillMs;
  }

  /** Returns how many more requests can start without waiting. */
  int freeSlots(long nowMs) {
    return (int) Math.max(0, endpoint.getSlots() - Math.ceil(occupancy(nowMs)));
  }

  boolean hasPrefix(long hash) {
    int offset = setOffset(hash);
    for (int i = 0; i < PREFIX_WAYS; i++) {
      if (prefixes[offset + i] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Marks a prefix as the most recently used entry of its cache set. */
  void addPrefix(long hash) {
    int offset = setOffset(hash);
    int position = PREFIX_WAYS - 1;
    for (int i = 0; i < PREFIX_WAYS; i++) {
      if (prefixes[offset + i] == hash) {
        position = i;
        break;
      }
    }
    System.arraycopy(prefixes, offset, prefixes, offset + 1, position);
    prefixes[offset] = hash;
  }

  private static int setOffset(long hash) {
    return (int) (hash >>> 58) % PREFIX_SETS * PREFIX_WAYS;
  }
}
