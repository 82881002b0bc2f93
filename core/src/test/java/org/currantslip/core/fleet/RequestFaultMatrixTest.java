package org.currantslip.core.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.Stream;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FaultTable;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Injects each fault at each step of a request, with retries by the caller on other nodes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class RequestFaultMatrixTest {
  private static final long STEP_TIMEOUT_MS = 2_000;
  private static final long FAULT_MS = 12_000;
  private static final long ANSWER_TIMEOUT_MS = 15_000;
  private static final long RETRY_DELAY_MS = 1_500;
  private static final int MAX_ATTEMPTS = 12;
  private static final List<String> NODES = List.of("n1", "n2", "n3", "n4");

  private FaultTable atMostOnceTable = FaultTable.of("");
  private FaultTable chatTable = FaultTable.of("");

  @BeforeAll
  void createTables() {
    atMostOnceTable = FaultTable.of("at-most-once request: runs, attempts, final result");
    chatTable = FaultTable.of("chat request: runs, attempts, final result");
  }

  static Stream<Arguments> cells() {
    return Stream.of(RequestFault.values())
        .flatMap(f -> Stream.of(RequestStep.values()).map(s -> Arguments.of(f, s)));
  }

  static Stream<Arguments> chatCells() {
    return cells().filter(a -> !((RequestStep) a.get()[1]).needsLedger());
  }

  @ParameterizedTest(name = "{0} at {1}")
  @MethodSource("cells")
  void atMostOnceRequest(RequestFault fault, RequestStep step) {
    runCell(fault, step, true, atMostOnceTable);
  }

  @ParameterizedTest(name = "{0} at {1}")
  @MethodSource("chatCells")
  void chatRequest(RequestFault fault, RequestStep step) {
    runCell(fault, step, false, chatTable);
  }

  private void runCell(RequestFault fault, RequestStep step, boolean service, FaultTable table) {
    Fleet fleet = new Fleet(NODES.size());
    fleet.run(1_000);
    FleetCaller caller = fleet.caller("key", service);
    if (step == RequestStep.BEFORE_SENDING) {
      injectFault(fault, fleet, caller);
    }
    if (!fleet.node("n1").isDead()) {
      caller.send(fleet.node("n1"));
    }
    if (step != RequestStep.BEFORE_SENDING) {
      boolean reached = fleet.runUntil(() -> step.isReached(fleet, caller), STEP_TIMEOUT_MS);
      assertWithMessage("step %s reached", step).that(reached).isTrue();
      injectFault(fault, fleet, caller);
    }
    long faultEndMs = fleet.clock.nowMs() + FAULT_MS;
    retryUntilSettled(fleet, caller, faultEndMs, fault);
    fleet.finish();
    table.put(fault.name(), step.name(), result(fleet, caller));
    assertThat(fleet.checks.violations).isEmpty();
    assertWithMessage("settled after %s attempts", caller.attempts.size())
        .that(isSettled(caller))
        .isTrue();
  }

  private static void injectFault(RequestFault fault, Fleet fleet, FleetCaller caller) {
    fault.start(fleet, "n1");
    if (fault == RequestFault.CALLER_HANGS_UP && !caller.attempts.isEmpty()) {
      fleet.disconnectedAttempts.add(caller.last());
      caller.disconnect();
    }
  }

  private static void retryUntilSettled(
      Fleet fleet, FleetCaller caller, long faultEndMs, RequestFault fault) {
    boolean faultStopped = false;
    for (int i = 1; i <= MAX_ATTEMPTS; i++) {
      fleet.runUntil(
          () -> !caller.attempts.isEmpty() && caller.last().isFinished(), ANSWER_TIMEOUT_MS);
      fleet.run(RETRY_DELAY_MS);
      if (!faultStopped && fleet.clock.nowMs() >= faultEndMs) {
        faultStopped = true;
        fault.stop(fleet, "n1");
      }
      if (faultStopped && isSettled(caller)) {
        return;
      }
      FleetNode node = fleet.node(NODES.get(i % NODES.size()));
      caller.send(node.isDead() ? fleet.node("n2") : node);
    }
  }

  /** Returns whether the caller has an answer or knows that the outcome is unknown. */
  private static boolean isSettled(FleetCaller caller) {
    return caller.isAnswered()
        || caller.attempts.stream()
            .flatMap(s -> s.ends.stream())
            .anyMatch(e -> e.code() == ResultCode.OUTCOME_UNKNOWN);
  }

  private static String result(Fleet fleet, FleetCaller caller) {
    long runs =
        caller.service
            ? fleet.endpoints.runCount(caller.key)
            : fleet.endpoints.calls.stream().filter(c -> c.ran).count();
    FleetCaller.Attempt last = caller.last();
    String finalResult =
        last.ends.isEmpty()
            ? "none"
            : last.ends.get(0).code().number() + " " + last.ends.get(0).ran().text();
    return runs + " " + caller.attempts.size() + " " + finalResult;
  }

  @AfterAll
  void printTables() {
    System.out.println(atMostOnceTable.toText());
    System.out.println(chatTable.toText());
  }

  @Test
  void everyFaultIsTestedAtEveryStep() {
    assertThat(cells().count())
        .isEqualTo((long) RequestFault.values().length * RequestStep.values().length);
  }
}
