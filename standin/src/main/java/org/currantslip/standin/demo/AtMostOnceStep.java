package org.currantslip.standin.demo;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.http.Json;

/** Checks at-most-once execution with retries, lost answers and a killed node. */
final class AtMostOnceStep {
  private static final long TIMEOUT_MS = 10_000;
  private static final long ANSWER_DELAY_MS = 3_000;
  private static final int RETRIES = 2;

  private final DemoPlan plan;
  private final DemoCaller client;
  private final Checks checks;
  private final ServiceControl services;
  private final long issuedMs = System.currentTimeMillis();

  private AtMostOnceStep(DemoPlan plan, DemoCaller client, ServiceControl services, Checks checks) {
    this.plan = plan;
    this.client = client;
    this.checks = checks;
    this.services = services;
  }

  static AtMostOnceStep create(
      DemoPlan plan, DemoCaller client, ServiceControl services, Checks checks) {
    return new AtMostOnceStep(plan, client, services, checks);
  }

  void run() {
    checkIdempotentRead();
    checkMissingKey();
    checkRepeatedCall();
    checkLostAnswer();
    checkKilledNode();
  }

  private void checkIdempotentRead() {
    CallerAnswer answer =
        client.ask(
            CallerCall.service(
                address(0), plan.token(), "GET", plan.service() + plan.readPath(), ""));
    checks.that(
        "an idempotent read of " + plan.readPath() + " is answered",
        answer.status() == 200 && answer.ran().equals("yes"),
        answer);
  }

  private void checkMissingKey() {
    CallerAnswer answer = client.ask(onceCall(0, "one"));
    checks.that(
        "an at-most-once call without a key is refused with 1005 and ran=no",
        answer.code() == ResultCode.IDEMPOTENCY_KEY_MISSING.number() && answer.ran().equals("no"),
        answer);
  }

  private void checkRepeatedCall() {
    String key = newKey("repeated");
    CallerAnswer first = client.ask(onceCall(0, "one").withIdempotencyKey(key, 1));
    checks.that(
        "POST " + plan.oncePath() + " runs",
        first.status() == 200 && first.ran().equals("yes"),
        first);
    CallerAnswer retried = client.ask(onceCall(1, "one").withIdempotencyKey(key, 2));
    checks.that(
        "a retry through another node gets the first answer again",
        retried.body().equals(first.body())
            && retried.header("Currantslip-Replayed").equals("true"),
        first.describe() + " then " + retried.describe());
    CallerAnswer conflicting = client.ask(onceCall(2, "another").withIdempotencyKey(key, 2));
    checks.that(
        "the same key with another body is refused with 1008",
        conflicting.code() == ResultCode.IDEMPOTENCY_KEY_BODY_DIFFERS.number(),
        conflicting);
    checkRanOnce(key);
  }

  private void checkLostAnswer() {
    String key = newKey("lost");
    services.setFaults(
        Json.object().put("lose_answer_after_effect", true).put("path", plan.oncePath()));
    CallerAnswer first = client.ask(onceCall(0, "lost").withIdempotencyKey(key, 1));
    services.clearFaults();
    checks.that(
        "an answer lost after the effect is reported as ran=unknown",
        first.ran().equals("unknown"),
        first);
    retry(key, "lost", 1);
    checkRanOnce(key);
  }

  private void checkKilledNode() {
    String key = newKey("killed");
    DemoPlan.NodeProcess killed = plan.nodes().get(plan.nodes().size() - 1);
    services.setFaults(Json.object().put("late_ms", ANSWER_DELAY_MS).put("path", plan.oncePath()));
    CompletableFuture<CallerAnswer> pending =
        client.send(
            onceCall(plan.nodes().size() - 1, "killed").withIdempotencyKey(key, 1), part -> {});
    boolean ran = Waiting.until(TIMEOUT_MS, () -> services.runCount(key) == 1 || pending.isDone());
    killed.process().destroyForcibly();
    CallerAnswer interrupted = pending.join();
    services.clearFaults();
    checks.that(
        killed.name() + " is killed with SIGKILL while the call is in progress",
        ran && !interrupted.failure().isEmpty(),
        interrupted);
    retry(key, "killed", 1);
    checkRanOnce(key);
  }

  /** Retries an executed call through other nodes; none may answer that it did not run. */
  private void retry(String key, String body, int firstNode) {
    for (int i = 0; i < RETRIES; i++) {
      CallerAnswer answer =
          client.ask(onceCall(firstNode + i, body).withIdempotencyKey(key, i + 2));
      checks.that(
          "retry "
              + (i + 1)
              + " through "
              + plan.nodes().get(firstNode + i).name()
              + " is not answered with ran=no",
          answer.failure().isEmpty() && !answer.ran().isEmpty() && !answer.ran().equals("no"),
          answer);
    }
  }

  private void checkRanOnce(String key) {
    int count = services.runCount(key);
    checks.that(
        "the call ran exactly once at the endpoints", count == 1, key + " ran " + count + " times");
  }

  private CallerCall onceCall(int node, String body) {
    return CallerCall.service(
        address(node),
        plan.token(),
        "POST",
        plan.service() + plan.oncePath(),
        Json.object().put("note", body).toString());
  }

  private String newKey(String name) {
    return issuedMs + "-demo-" + name;
  }

  private String address(int node) {
    return plan.nodes().get(node).address();
  }
}
