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

/** Every fault at every step of a request, with the caller's retries through other nodes. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
final class RequestFaultMatrixTest {
  private static final long STEP_MS = 2_000;
  private static final long FAULT_MS = 12_000;
  private static final long ANSWER_MS = 15_000;
  private static final long PAUSE_MS = 1_500;
  private static final int SENDINGS = 12;
  private static final List<String> NODES = List.of("n1", "n2", "n3", "n4");

  private FaultTable once = FaultTable.of("");
  private FaultTable chat = FaultTable.of("");

  @BeforeAll
  void openTables() {
    once = FaultTable.of("at-most-once request: runs, sendings, last word");
    chat = FaultTable.of("chat request: runs, sendings, last word");
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
    play(fault, step, true, once);
  }

  @ParameterizedTest(name = "{0} at {1}")
  @MethodSource("chatCells")
  void chatRequest(RequestFault fault, RequestStep step) {
    play(fault, step, false, chat);
  }

  private void play(RequestFault fault, RequestStep step, boolean service, FaultTable table) {
    Fleet fleet = new Fleet(NODES.size());
    fleet.run(1_000);
    FleetCaller caller = fleet.caller("key", service);
    if (step == RequestStep.BEFORE_SENDING) {
      start(fault, fleet, caller);
    }
    if (!fleet.node("n1").isDead()) {
      caller.send(fleet.node("n1"));
    }
    if (step != RequestStep.BEFORE_SENDING) {
      boolean reached = fleet.runUntil(() -> step.isReached(fleet, caller), STEP_MS);
      assertWithMessage("step %s is reached", step).that(reached).isTrue();
      start(fault, fleet, caller);
    }
    long healMs = fleet.clock.nowMs() + FAULT_MS;
    sendUntilSettled(fleet, caller, healMs, fault);
    fleet.finish();
    table.put(fault.name(), step.name(), result(fleet, caller));
    assertThat(fleet.checks.violations).isEmpty();
    assertWithMessage("last word of %s", caller.sendings.size()).that(isSettled(caller)).isTrue();
  }

  private static void start(RequestFault fault, Fleet fleet, FleetCaller caller) {
    fault.start(fleet, "n1");
    if (fault == RequestFault.CALLER_HANGS_UP && !caller.sendings.isEmpty()) {
      fleet.hungUp.add(caller.last());
      caller.hangUp();
    }
  }

  private static void sendUntilSettled(
      Fleet fleet, FleetCaller caller, long healMs, RequestFault fault) {
    boolean healed = false;
    for (int i = 1; i <= SENDINGS; i++) {
      fleet.runUntil(() -> !caller.sendings.isEmpty() && caller.last().isGivenUp(), ANSWER_MS);
      fleet.run(PAUSE_MS);
      if (!healed && fleet.clock.nowMs() >= healMs) {
        healed = true;
        fault.stop(fleet, "n1");
      }
      if (healed && isSettled(caller)) {
        return;
      }
      FleetNode node = fleet.node(NODES.get(i % NODES.size()));
      caller.send(node.isDead() ? fleet.node("n2") : node);
    }
  }

  /** Returns whether the caller has its answer, or knows that there will be none. */
  private static boolean isSettled(FleetCaller caller) {
    return caller.isAnswered()
        || caller.sendings.stream()
            .flatMap(s -> s.ends.stream())
            .anyMatch(e -> e.code() == ResultCode.OUTCOME_UNKNOWN);
  }

  private static String result(Fleet fleet, FleetCaller caller) {
    long runs =
        caller.service
            ? fleet.endpoints.runsOf(caller.key)
            : fleet.endpoints.calls.stream().filter(c -> c.ran).count();
    FleetCaller.Sending last = caller.last();
    String word =
        last.ends.isEmpty()
            ? "none"
            : last.ends.get(0).code().number() + " " + last.ends.get(0).ran().text();
    return runs + " " + caller.sendings.size() + " " + word;
  }

  @AfterAll
  void printTables() {
    System.out.println(once.toText());
    System.out.println(chat.toText());
  }

  @Test
  void everyFaultIsPlayedAtEveryStep() {
    assertThat(cells().count())
        .isEqualTo((long) RequestFault.values().length * RequestStep.values().length);
  }
}
