package org.currantslip.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.request.AnswerHead;
import org.currantslip.schema.UsageRecord;

/** What must always hold, checked at every answer and at the end. */
final class FleetChecks {
  final List<String> violations = new ArrayList<>();
  private final Fleet fleet;

  FleetChecks(Fleet fleet) {
    this.fleet = fleet;
  }

  void onEnd(FleetCaller.Sending s, AnswerHead end) {
    if (s.ends.size() > 1) {
      violations.add(s.request.requestId() + " was answered twice");
    }
    if (end.ran() == Ran.NO && dispatchedBy(s)) {
      violations.add(s.request.requestId() + " said ran=no after its dispatch");
    }
    if (end.ran() == Ran.NO && s.request.key() != null && ranUntil(s)) {
      violations.add(s.request.requestId() + " said ran=no of a key that ran");
    }
    if (end.code() == ResultCode.OK && !s.body.toString().equals(expectedBody(s))) {
      violations.add(s.request.requestId() + " got a foreign answer: " + s.body);
    }
    if (end.code() != ResultCode.OK && end.ran() != Ran.YES && end.retryAfterMs() <= 0) {
      violations.add(s.request.requestId() + " was not told when to come back: " + end.code());
    }
  }

  private static String expectedBody(FleetCaller.Sending s) {
    return "answer to " + s.request.body().toStringUtf8();
  }

  private boolean dispatchedBy(FleetCaller.Sending s) {
    return fleet.endpoints.calls.stream()
        .anyMatch(c -> c.ran && isCallOf(c, s.request.requestId()));
  }

  private boolean ranUntil(FleetCaller.Sending s) {
    return fleet.endpoints.runsOf(s.request.body().toStringUtf8()) > 0;
  }

  private static boolean isCallOf(FleetEndpoints.Call call, String requestId) {
    return call.request.correlation().startsWith(requestId + "/");
  }

  /** Checks the end of a run, when all faults are gone and everything is written out. */
  void atEnd(List<FleetCaller> callers, List<UsageRecord> stored) {
    Map<String, Integer> records = new HashMap<>();
    stored.forEach(r -> records.merge(r.getRequestId(), 1, Integer::sum));
    callers.forEach(c -> checkCaller(c, records));
    fleet.nodes.values().stream()
        .filter(n -> !n.isDead() && n.engine.activeCount() > 0)
        .forEach(n -> violations.add(n.name() + " still has requests under way"));
  }

  private void checkCaller(FleetCaller caller, Map<String, Integer> records) {
    if (caller.service && fleet.endpoints.runsOf(caller.key) > 1) {
      violations.add(caller.key + " ran " + fleet.endpoints.runsOf(caller.key) + " times");
    }
    caller.sendings.forEach(s -> checkSending(s, records));
    checkLaterRuns(caller);
  }

  private void checkSending(FleetCaller.Sending s, Map<String, Integer> records) {
    String id = s.request.requestId();
    int count = records.getOrDefault(id, 0);
    boolean billable = s.isOk() && !s.ends.get(0).replayed();
    if (billable && count != 1) {
      violations.add(id + " was answered and has " + count + " usage records");
    }
    if (s.saidNotRun() && count != 0) {
      violations.add(id + " was refused and has " + count + " usage records");
    }
    if (s.ends.isEmpty() && !s.node.isDead() && !fleet.hungUp.contains(s)) {
      violations.add(id + " was never answered");
    }
  }

  /** A key of which a refusal said ran=no may run later only for a later sending. */
  private void checkLaterRuns(FleetCaller caller) {
    for (FleetCaller.Sending s : caller.sendings) {
      if (s.saidNotRun() && dispatchedBy(s)) {
        violations.add(s.request.requestId() + " ran after it was told ran=no");
      }
    }
  }
}
