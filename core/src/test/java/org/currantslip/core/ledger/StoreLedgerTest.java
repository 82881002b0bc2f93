package org.currantslip.core.ledger;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.util.Objects;
import java.util.stream.Stream;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.fake.FakeObjectStore.Call;
import org.currantslip.core.fake.StoreFault;
import org.currantslip.core.ledger.LedgerCluster.Attempt;
import org.currantslip.schema.LedgerIntent;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

final class StoreLedgerTest {
  private static final long SETTLE_MS = 30_000;
  private static final long FAST_REFUSAL_MS = 100;

  private static RefusalException refusal(Attempt attempt) {
    return Objects.requireNonNull(attempt.refusal, attempt.requestId);
  }

  private static void assertNoViolations(LedgerCluster cluster) {
    cluster.checkReplays();
    assertThat(cluster.violations).isEmpty();
  }

  @Test
  void runsOnceAndReplaysOnEveryNode() {
    LedgerCluster cluster = LedgerCluster.of(3);
    Attempt first = cluster.send("n0", "k", true);
    cluster.run(1_000);
    assertThat(first.dispatched).isTrue();
    for (String node : cluster.nodes.keySet()) {
      Attempt again = cluster.send(node, "k", false);
      cluster.run(1_000);
      assertWithMessage(node).that(again.replayed).isTrue();
      assertThat(again.answer).isNotNull();
    }
    assertThat(cluster.runCount(first.key)).isEqualTo(1);
    assertNoViolations(cluster);
  }

  @ParameterizedTest
  @CsvSource({
    "-90000000, true, IDEMPOTENCY_KEY_EXPIRED, NO",
    "-90000000, false, IDEMPOTENCY_KEY_EXPIRED, UNKNOWN",
    "61000, true, IDEMPOTENCY_KEY_MALFORMED, NO",
    "61000, false, IDEMPOTENCY_KEY_MALFORMED, UNKNOWN"
  })
  void refusesKeysOutsideTheWindow(long offsetMs, boolean first, ResultCode code, Ran ran) {
    LedgerCluster cluster = LedgerCluster.of(1);
    long issuedMs = LedgerCluster.START_MS + offsetMs;
    LedgerKey key = new LedgerKey(LedgerCluster.ACCOUNT, issuedMs + "-k", issuedMs);
    Attempt attempt = cluster.send("n0", key, "body", first);
    assertThat(refusal(attempt).code()).isEqualTo(code);
    assertThat(refusal(attempt).ran()).isEqualTo(ran);
  }

  @Test
  void refusesDifferentBodyAndScopesKeysByAccount() {
    LedgerCluster cluster = LedgerCluster.of(2);
    cluster.send("n0", "k", true);
    cluster.run(1_000);
    Attempt other = cluster.send("n1", LedgerCluster.key("k"), "other body", false);
    LedgerKey foreign =
        new LedgerKey("other", LedgerCluster.key("k").key(), LedgerCluster.START_MS);
    final Attempt elsewhere = cluster.send("n1", foreign, "other body", true);
    cluster.run(1_000);
    assertThat(refusal(other).code()).isEqualTo(ResultCode.IDEMPOTENCY_KEY_BODY_DIFFERS);
    assertThat(refusal(other).ran()).isEqualTo(Ran.YES);
    assertThat(elsewhere.dispatched).isTrue();
  }

  @Test
  void refusesAsInFlightWhileTheFirstRequestRuns() {
    LedgerCluster cluster = LedgerCluster.of(3);
    cluster.runMs = 5_000;
    cluster.send("n0", "k", true);
    cluster.run(500);
    Attempt again = cluster.send("n1", "k", false);
    cluster.run(1_000);
    assertThat(refusal(again).code()).isEqualTo(ResultCode.KEY_IN_FLIGHT);
    assertThat(refusal(again).ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(refusal(again).retryAfterMs()).isGreaterThan(0);
    cluster.run(6_000);
    Attempt later = cluster.send("n1", "k", false);
    cluster.run(500);
    assertThat(later.replayed).isTrue();
    assertNoViolations(cluster);
  }

  @Test
  void abandonedBeforeDispatchAllowsTheKeyToRunAgain() {
    LedgerCluster cluster = LedgerCluster.of(2);
    cluster.dispatchMs = 6_000;
    Attempt first = cluster.send("n0", "k", true);
    cluster.run(7_000);
    assertThat(first.ended).isTrue();
    assertThat(first.dispatched).isFalse();
    cluster.dispatchMs = 2;
    Attempt again = cluster.send("n1", "k", true);
    cluster.run(1_000);
    assertThat(again.dispatched).isTrue();
    assertNoViolations(cluster);
  }

  /** A request that is waiting to be dispatched keeps its key and is dispatched once. */
  @Test
  void storedIntentIsNotSupersededWhileItMayBeDispatched() {
    LedgerCluster cluster = LedgerCluster.of(3);
    cluster.dispatchMs = 3_000;
    final Attempt first = cluster.send("n0", "k", true);
    cluster.run(1_000);
    cluster.dispatchMs = 2;
    Attempt again = cluster.send("n1", "k", false);
    cluster.run(5_000);
    assertThat(refusal(again).code()).isEqualTo(ResultCode.KEY_IN_FLIGHT);
    assertThat(first.dispatched).isTrue();
    assertNoViolations(cluster);
  }

  /** The intent is stored only after its request was abandoned. */
  @Test
  void lateStoredIntentIsNeverDispatched() {
    LedgerCluster cluster = LedgerCluster.of(1);
    cluster.send("n0", "k", true);
    cluster.run(1_000);
    LedgerKey key = cluster.keyIn(LedgerNames.slotOf(intentOf("k")), "late");
    cluster.store.inject(Call.CREATE, "ledger/", StoreFault.SLOW);
    cluster.store.inject(Call.GET, "snapshot", StoreFault.SLOW);
    Attempt late = cluster.send("n0", key, "body", true);
    cluster.run(2_500);
    assertThat(refusal(late).ran()).isEqualTo(Ran.NO);
    for (int i = 0; i < 3_000; i++) {
      cluster.run(1);
      assertThat(cluster.node("n0").ledger.markDispatched(key, late.requestId)).isFalse();
    }
  }

  private static LedgerIntent intentOf(String opaque) {
    LedgerKey key = LedgerCluster.key(opaque);
    return LedgerIntent.newBuilder().setAccount(key.account()).setKey(key.key()).build();
  }

  /** An intent with unknown append outcome reaches the log long after its request was abandoned. */
  @ParameterizedTest
  @CsvSource({"n0", "n1", "n2"})
  void intentStoredAfterAbandonIsNeverDispatched(String nextNode) {
    LedgerCluster cluster = LedgerCluster.of(3);
    cluster.isolate("n0");
    LedgerKey sameSlot = cluster.keyIn(LedgerNames.slotOf(intentOf("k")), "before");
    cluster.send("n0", sameSlot, "body", true);
    cluster.run(1_000);
    cluster.store.inject(Call.CREATE, "ledger/", StoreFault.LATE_EFFECT);
    final Attempt first = cluster.send("n0", "k", true);
    cluster.run(12);
    cluster.node("n0").link.setCut(true);
    cluster.run(SETTLE_MS);
    assertThat(refusal(first).ran()).isEqualTo(Ran.NO);
    final Attempt again = cluster.send(nextNode, "k", true);
    cluster.run(5_000);
    cluster.node("n0").link.setCut(false);
    cluster.run(SETTLE_MS);
    assertThat(first.dispatched).isFalse();
    assertThat(again.dispatched).isEqualTo(!nextNode.equals("n0"));
    assertNoViolations(cluster);
  }

  @Test
  void neverRunsAgainAfterTheWriterIsGone() {
    LedgerCluster cluster = LedgerCluster.of(3);
    cluster.runMs = 5_000;
    Attempt first = cluster.send("n0", "k", true);
    cluster.run(500);
    final LedgerCluster.Node gone = first.node;
    cluster.kill("n0");
    Attempt early = cluster.send("n1", "k", false);
    cluster.run(3_000);
    assertThat(refusal(early).code()).isEqualTo(ResultCode.KEY_IN_FLIGHT);
    cluster.declareGone(gone);
    for (String node : cluster.nodes.keySet()) {
      Attempt again = cluster.send(node, "k", false);
      cluster.run(3_000);
      assertThat(refusal(again).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
      assertThat(refusal(again).ran()).isEqualTo(Ran.UNKNOWN);
    }
    assertNoViolations(cluster);
  }

  @Test
  void restartUnderTheSameNameCountsAsGone() {
    LedgerCluster cluster = LedgerCluster.of(3);
    cluster.runMs = 5_000;
    cluster.send("n0", "k", true);
    cluster.run(500);
    cluster.start("n0");
    Attempt again = cluster.send("n0", "k", false);
    cluster.run(3_000);
    assertThat(refusal(again).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertNoViolations(cluster);
  }

  /** The writer is frozen during its request, declared gone and thawed much later. */
  @ParameterizedTest
  @CsvSource({"1", "3", "8", "12", "20", "26", "32", "45", "70", "120", "200"})
  void thawedWriterNeverCausesSecondRun(long freezeAtMs) {
    LedgerCluster cluster = LedgerCluster.of(3);
    Attempt first = cluster.send("n0", "k", true);
    cluster.run(freezeAtMs);
    final boolean dispatchedBefore = first.dispatched;
    cluster.freeze("n0");
    cluster.declareGone(first.node);
    cluster.run(SETTLE_MS);
    final Attempt again = cluster.send("n1", "k", false);
    cluster.run(SETTLE_MS);
    cluster.thaw("n0");
    cluster.run(SETTLE_MS);
    assertThat(again.ended).isTrue();
    assertThat(first.dispatched).isEqualTo(dispatchedBefore);
    cluster.send("n2", "k", false);
    cluster.run(SETTLE_MS);
    assertThat(cluster.runCount(first.key)).isAtMost(1);
    assertNoViolations(cluster);
  }

  @ParameterizedTest
  @EnumSource(StoreFault.class)
  void storeFaultOnFirstCreateResultsInOneRun(StoreFault fault) {
    LedgerCluster cluster = LedgerCluster.of(2);
    cluster.store.inject(Call.CREATE, "ledger/", fault);
    Attempt first = cluster.send("n0", "k", true);
    cluster.run(SETTLE_MS);
    assertThat(first.ended).isTrue();
    Attempt again = cluster.send("n1", "k", first.refusal != null);
    cluster.run(SETTLE_MS);
    assertThat(cluster.runCount(first.key)).isEqualTo(1);
    assertThat(again.answer).isNotNull();
    assertNoViolations(cluster);
  }

  @Test
  void refusesImmediatelyDuringStoreOutage() {
    LedgerCluster cluster = LedgerCluster.of(3);
    cluster.store.setUnavailable(true);
    Attempt slow = cluster.send("n0", "a", true);
    cluster.run(3_000);
    assertThat(slow.ended).isTrue();
    for (String node : cluster.nodes.keySet()) {
      cluster.send(node, "warm-" + node, true);
    }
    cluster.run(3_000);
    for (String node : cluster.nodes.keySet()) {
      Attempt attempt = cluster.send(node, "b-" + node, true);
      cluster.run(FAST_REFUSAL_MS);
      assertWithMessage(node).that(attempt.ended).isTrue();
      assertThat(refusal(attempt).code()).isEqualTo(ResultCode.LEDGER_UNAVAILABLE);
      assertThat(refusal(attempt).ran()).isEqualTo(Ran.NO);
      assertThat(refusal(attempt).retryAfterMs()).isGreaterThan(0);
      Attempt repeated = cluster.send(node, "c-" + node, false);
      cluster.run(FAST_REFUSAL_MS);
      assertThat(refusal(repeated).ran()).isEqualTo(Ran.UNKNOWN);
    }
    cluster.store.setUnavailable(false);
    cluster.run(3_000);
    Attempt back = cluster.send("n0", "a", true);
    cluster.run(1_000);
    assertThat(back.dispatched).isTrue();
    assertNoViolations(cluster);
  }

  @Test
  void thawedNodeDoesNotReportThatTheKeyDidNotRun() {
    LedgerCluster cluster = LedgerCluster.of(2);
    final Attempt first = cluster.send("n0", "k", true);
    cluster.run(1);
    cluster.freeze("n0");
    cluster.run(SETTLE_MS);
    cluster.send("n1", "k", false);
    cluster.run(SETTLE_MS);
    cluster.thaw("n0");
    cluster.run(SETTLE_MS);
    assertThat(cluster.runCount(first.key)).isEqualTo(1);
    assertThat(refusal(first).ran()).isEqualTo(Ran.UNKNOWN);
  }

  static Stream<Integer> slots() {
    return Stream.iterate(0, i -> i + 1).limit(8);
  }

  @ParameterizedTest
  @MethodSource("slots")
  void nodeCutOffFromTheStoreWritesThroughItsPeers(int n) {
    LedgerCluster cluster = LedgerCluster.of(3);
    cluster.node("n0").link.setCut(true);
    Attempt attempt = cluster.send("n0", "k" + n, true);
    cluster.run(5_000);
    assertThat(attempt.ended).isTrue();
    assertNoViolations(cluster);
  }

  @Test
  void storesOnlyTheHashOfAnOversizedAnswer() {
    LedgerCluster cluster = LedgerCluster.of(2);
    LedgerKey key = LedgerCluster.key("k");
    StoreLedger ledger = cluster.node("n0").ledger;
    ledger.begin(key, ByteString.copyFromUtf8("body"), "big", true);
    cluster.run(500);
    assertThat(ledger.markDispatched(key, "big")).isTrue();
    ledger.finish(
        key,
        LedgerOutcome.newBuilder()
            .setRequestId("big")
            .setResult(LedgerResult.ANSWERED)
            .setHttpStatus(201)
            .setBody(ByteString.copyFrom(new byte[100_000]))
            .build());
    cluster.run(500);
    Attempt again = cluster.send("n1", "k", false);
    cluster.run(500);
    var answer = Objects.requireNonNull(again.answer);
    assertThat(answer.getHttpStatus()).isEqualTo(201);
    assertThat(answer.getBodyOmitted()).isTrue();
    assertThat(answer.getBodySha256().size()).isEqualTo(32);
    assertThat(answer.getBody().isEmpty()).isTrue();
  }
}
