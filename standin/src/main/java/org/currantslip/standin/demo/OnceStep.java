package org.currantslip.standin.demo;

import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ResultCode;
import org.currantslip.standin.caller.CallerAnswer;
import org.currantslip.standin.caller.CallerCall;
import org.currantslip.standin.http.Json;

/** Sends calls that run at most once, with retries, lost answers and a killed node. */
final class OnceStep {
  private static final long LIMIT_MS = 10_000;
  private static final long LATE_MS = 3_000;
  private static final int RETRIES = 2;

  private final DemoPlan plan;
  private final DemoCaller client;
  private final Checks checks;
  private final AppRuns runs;
  private final long issuedMs = System.currentTimeMillis();

  private OnceStep(DemoPlan plan, DemoCaller client, AppRuns runs, Checks checks) {
    this.plan = plan;
    this.client = client;
    this.checks = checks;
    this.runs = runs;
  }

  static OnceStep create(DemoPlan plan, DemoCaller client, AppRuns runs, Checks checks) {
    return new OnceStep(plan, client, runs, checks);
  }

  void run() {
    idempotentRead();
    withoutKey();
    repeated();
    lostAnswer();
    killedNode();
  }

  private void idempotentRead() {
    CallerAnswer answer =
        client.ask(
            CallerCall.service(
                address(0), plan.token(), "GET", plan.service() + plan.readPath(), ""));
    checks.that(
        "an idempotent read of " + plan.readPath() + " is answered",
        answer.status() == 200 && answer.ran().equals("yes"),
        answer);
  }

  private void withoutKey() {
    CallerAnswer answer = client.ask(once(0, "one"));
    checks.that(
        "a call that runs at most once needs a key: refused with 1005 and ran=no",
        answer.code() == ResultCode.IDEMPOTENCY_KEY_MISSING.number() && answer.ran().equals("no"),
        answer);
  }

  private void repeated() {
    String key = key("repeated");
    CallerAnswer first = client.ask(once(0, "one").withKey(key, 1));
    checks.that(
        "POST " + plan.oncePath() + " runs",
        first.status() == 200 && first.ran().equals("yes"),
        first);
    CallerAnswer again = client.ask(once(1, "one").withKey(key, 2));
    checks.that(
        "a retry through another node gets the first answer again",
        again.body().equals(first.body()) && again.header("Currantslip-Replayed").equals("true"),
        first.describe() + " then " + again.describe());
    CallerAnswer other = client.ask(once(2, "another").withKey(key, 2));
    checks.that(
        "the same key with another body is refused with 1008",
        other.code() == ResultCode.IDEMPOTENCY_KEY_BODY_DIFFERS.number(),
        other);
    checksRunsOnce(key);
  }

  private void lostAnswer() {
    String key = key("lost");
    runs.setFaults(
        Json.object().put("lose_answer_after_effect", true).put("path", plan.oncePath()));
    CallerAnswer first = client.ask(once(0, "lost").withKey(key, 1));
    runs.clearFaults();
    checks.that(
        "an answer lost after the effect is told as ran=unknown",
        first.ran().equals("unknown"),
        first);
    retry(key, "lost", 1);
    checksRunsOnce(key);
  }

  private void killedNode() {
    String key = key("killed");
    DemoPlan.NodeProcess victim = plan.nodes().get(plan.nodes().size() - 1);
    runs.setFaults(Json.object().put("late_ms", LATE_MS).put("path", plan.oncePath()));
    CompletableFuture<CallerAnswer> pending =
        client.send(once(plan.nodes().size() - 1, "killed").withKey(key, 1), part -> {});
    boolean ran = Waiting.until(LIMIT_MS, () -> runs.of(key) == 1 || pending.isDone());
    victim.process().destroyForcibly();
    CallerAnswer cut = pending.join();
    runs.clearFaults();
    checks.that(
        victim.name() + " is killed with SIGKILL while the call is under way",
        ran && !cut.failure().isEmpty(),
        cut);
    retry(key, "killed", 1);
    checksRunsOnce(key);
  }

  /** Retries through other nodes; whatever they say must not be that it did not run. */
  private void retry(String key, String body, int firstNode) {
    for (int i = 0; i < RETRIES; i++) {
      CallerAnswer answer = client.ask(once(firstNode + i, body).withKey(key, i + 2));
      checks.that(
          "retry "
              + (i + 1)
              + " through "
              + plan.nodes().get(firstNode + i).name()
              + " is not told ran=no",
          answer.failure().isEmpty() && !answer.ran().isEmpty() && !answer.ran().equals("no"),
          answer);
    }
  }

  private void checksRunsOnce(String key) {
    int count = runs.of(key);
    checks.that("it ran once at the endpoints", count == 1, key + " ran " + count + " times");
  }

  private CallerCall once(int node, String body) {
    return CallerCall.service(
        address(node),
        plan.token(),
        "POST",
        plan.service() + plan.oncePath(),
        Json.object().put("note", body).toString());
  }

  private String key(String name) {
    return issuedMs + "-demo-" + name;
  }

  private String address(int node) {
    return plan.nodes().get(node).address();
  }
}
