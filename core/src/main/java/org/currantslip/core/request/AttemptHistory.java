package org.currantslip.core.request;

import java.util.HashSet;
import java.util.Set;
import org.currantslip.core.common.Ran;
import org.currantslip.core.route.Route;

/** Attempts of one forwarded request so far, and which further ones its route allows. */
final class AttemptHistory {
  /** Number of endpoints that may decline a request before it is refused with a retry delay. */
  private static final int MAX_DECLINES = 3;

  private final Set<String> triedEndpoints = new HashSet<>();
  private int sendCount;
  private int runCount;
  private int declineCount;
  private Ran ran = Ran.NO;
  private boolean relayed;

  private AttemptHistory(int runCount) {
    this.runCount = runCount;
  }

  /** Returns the history of a request that so many endpoints may have run for another node. */
  static AttemptHistory after(int earlierRuns) {
    return new AttemptHistory(earlierRuns);
  }

  void onSent(String endpointId) {
    triedEndpoints.add(endpointId);
    sendCount++;
  }

  /** Records that the endpoint did not run the request. */
  void onNotRun() {
    declineCount++;
  }

  /** Records a failed attempt in which the endpoint may have run the request. */
  void onMayHaveRun() {
    runCount++;
    markUnknown();
  }

  /** Records an attempt that is given up for a larger model, whose answer nobody gets. */
  void onReplaced() {
    runCount++;
    ran = Ran.UNKNOWN;
    triedEndpoints.clear();
  }

  /** Records that a peer has been asked to run the request. */
  void onRelayed() {
    relayed = true;
  }

  /** Records that the peer did not run the request. */
  void onRelayRefused() {
    relayed = false;
  }

  /** Records that an endpoint has begun to answer. */
  void onAnswering() {
    ran = Ran.YES;
  }

  /** Records that an endpoint may run the request. */
  void markUnknown() {
    ran = ran == Ran.NO ? Ran.UNKNOWN : ran;
  }

  /** Allows one more attempt at any endpoint. */
  void allowOneMore() {
    triedEndpoints.clear();
    declineCount = MAX_DECLINES;
  }

  /** Excludes one endpoint, or none if it is the only one. */
  void excludeOnly(Set<String> endpointIds) {
    triedEndpoints.clear();
    triedEndpoints.addAll(endpointIds);
  }

  /** Returns the ids of the endpoints that are not to be tried. */
  Set<String> triedEndpoints() {
    return triedEndpoints;
  }

  int sendCount() {
    return sendCount;
  }

  int runCount() {
    return runCount;
  }

  Ran ran() {
    return ran == Ran.NO && relayed ? Ran.UNKNOWN : ran;
  }

  /** Returns whether the request may run once more after the current attempt. */
  boolean isRetryable(Route route) {
    return route.isRepeatable() && runCount + 1 < route.attempts();
  }

  /** Returns what keeps the request from another endpoint after the current attempt has run. */
  RetryObstacle obstacleAfterRun(Route route) {
    return obstacle(route, runCount + 1);
  }

  /** Returns what keeps the request from another endpoint after an attempt that has ended. */
  RetryObstacle obstacle(Route route, boolean mayHaveRun) {
    if (mayHaveRun) {
      return obstacle(route, runCount);
    }
    return declineCount <= MAX_DECLINES ? RetryObstacle.NONE : RetryObstacle.DECLINES;
  }

  private static RetryObstacle obstacle(Route route, int runs) {
    if (!route.isRepeatable()) {
      return RetryObstacle.NOT_REPEATABLE;
    }
    return runs < route.attempts() ? RetryObstacle.NONE : RetryObstacle.ATTEMPTS;
  }
}
