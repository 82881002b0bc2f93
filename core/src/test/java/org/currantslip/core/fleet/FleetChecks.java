package org.currantslip.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.ResponseHead;
import org.currantslip.schema.UsageRecord;

/** The invariants of the request path, checked at each answer and at the end of a test. */
final class FleetChecks {
  final List<String> violations = new ArrayList<>();
  private final Fleet fleet;

  FleetChecks(Fleet fleet) {
    this.fleet = fleet;
  }

  void onEnd(FleetCaller.Attempt attempt, ResponseHead end) {
    if (attempt.ends.size() > 1) {
      violations.add(attempt.request.requestId() + " was answered twice");
    }
    if (end.ran() == Ran.NO && hasRun(attempt)) {
      violations.add(attempt.request.requestId() + " got ran=no after it was dispatched");
    }
    if (end.ran() == Ran.NO && attempt.request.idempotencyKey() != null && hasKeyRun(attempt)) {
      violations.add(attempt.request.requestId() + " got ran=no for a key that ran");
    }
    if (end.code() == ResultCode.OK && !attempt.body.toString().equals(expectedBody(attempt))) {
      violations.add(
          attempt.request.requestId() + " got the answer of another request: " + attempt.body);
    }
    if (end.code() != ResultCode.OK && end.ran() != Ran.YES && end.retryAfterMs() <= 0) {
      violations.add(attempt.request.requestId() + " got no retry delay: " + end.code());
    }
  }

  private static String expectedBody(FleetCaller.Attempt attempt) {
    return "answer to " + attempt.request.body().toStringUtf8();
  }

  private boolean hasRun(FleetCaller.Attempt attempt) {
    return fleet.endpoints.calls.stream()
        .anyMatch(c -> c.ran && isCallOf(c, attempt.request.requestId()));
  }

  private boolean hasKeyRun(FleetCaller.Attempt attempt) {
    return fleet.endpoints.runCount(attempt.request.body().toStringUtf8()) > 0;
  }

  private static boolean isCallOf(FleetEndpoints.Call call, String requestId) {
    return call.request.correlation().startsWith(requestId + "/");
  }

  /** Checks the final state, after all faults were removed and all records were flushed. */
  void atEnd(List<FleetCaller> callers, List<UsageRecord> stored) {
    Map<String, Integer> records = new HashMap<>();
    stored.forEach(r -> records.merge(r.getRequestId(), 1, Integer::sum));
    callers.forEach(c -> checkCaller(c, records));
    fleet.nodes.values().stream()
        .filter(n -> !n.isDead() && n.engine.activeCount() > 0)
        .forEach(n -> violations.add(n.name() + " still has requests in flight"));
  }

  private void checkCaller(FleetCaller caller, Map<String, Integer> records) {
    if (caller.service && fleet.endpoints.runCount(caller.key) > 1) {
      violations.add(caller.key + " ran " + fleet.endpoints.runCount(caller.key) + " times");
    }
    caller.attempts.forEach(attempt -> checkAttempt(attempt, records));
    checkLaterRuns(caller);
  }

  private void checkAttempt(FleetCaller.Attempt attempt, Map<String, Integer> records) {
    String id = attempt.request.requestId();
    int count = records.getOrDefault(id, 0);
    boolean billable = attempt.isOk() && !attempt.ends.get(0).replayed();
    if (billable && count != 1) {
      violations.add(id + " was answered and has " + count + " usage records");
    }
    if (attempt.gotNotRun() && count != 0) {
      violations.add(id + " was refused and has " + count + " usage records");
    }
    if (attempt.ends.isEmpty()
        && !attempt.node.isDead()
        && !fleet.disconnectedAttempts.contains(attempt)) {
      violations.add(id + " was never answered");
    }
  }

  /** After an attempt got ran=no, its key may run only for a later attempt. */
  private void checkLaterRuns(FleetCaller caller) {
    for (FleetCaller.Attempt attempt : caller.attempts) {
      if (attempt.gotNotRun() && hasRun(attempt)) {
        violations.add(attempt.request.requestId() + " ran after it got ran=no");
      }
    }
  }
}
