package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.ledger.LedgerDecision;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

final class RequestEngineTest {
  private final RequestFixture fixture = new RequestFixture();

  private ResponseHead end() {
    ResponseHead end = fixture.sink.end();
    assertThat(fixture.sink.ends).hasSize(1);
    if (end == null) {
      throw new AssertionError("no answer");
    }
    return end;
  }

  private void assertRefused(ResultCode code, Ran ran) {
    assertThat(end().code()).isEqualTo(code);
    assertThat(end().ran()).isEqualTo(ran);
    assertThat(fixture.engine.activeCount()).isEqualTo(0);
    assertThat(fixture.outstandingPermits).isEqualTo(0);
  }

  @Test
  void nonStreamingResponseWaitsForTheUsageRecord() {
    fixture.usage.durable = new CompletableFuture<>();
    fixture.send(fixture.chat("small", false));
    fixture.calls.last().respond("hello");
    assertThat(fixture.sink.heads).isEmpty();
    fixture.usage.durable.complete(null);
    assertThat(fixture.sink.data).containsExactly("hello");
    assertThat(end().ran()).isEqualTo(Ran.YES);
    assertThat(fixture.usage.records).hasSize(1);
    assertThat(fixture.usage.records.get(0).getStage(0).getCostMicros()).isEqualTo(5);
    assertThat(fixture.outstandingPermits).isEqualTo(0);
  }

  @Test
  void endOfStreamWaitsForTheUsageRecord() {
    fixture.usage.durable = new CompletableFuture<>();
    fixture.send(fixture.chat("small", true));
    fixture.calls.last().respond("token");
    assertThat(fixture.sink.data).containsExactly("token");
    assertThat(fixture.sink.isEnded()).isFalse();
    fixture.usage.durable.complete(null);
    assertThat(end().code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void usageRecordNotStoredInTimeIsReportedAsRan() {
    fixture.usage.durable = new CompletableFuture<>();
    fixture.send(fixture.chat("small", false));
    fixture.calls.last().respond("hello");
    fixture.advance(1_000);
    assertRefused(ResultCode.USAGE_NOT_SAFE, Ran.YES);
  }

  @Test
  void lowConfidenceEscalatesAndBillsBothStages() {
    fixture.send(fixture.chat("", true));
    FakeEndpointClient.Call cheapCall = fixture.calls.last();
    cheapCall.head(200);
    cheapCall.data("weak");
    cheapCall.end(0.2);
    assertThat(fixture.sink.data).isEmpty();
    fixture.calls.last().respond("strong");
    assertThat(fixture.sink.data).containsExactly("strong");
    assertThat(end().model()).isEqualTo("large");
    assertThat(fixture.usage.records).hasSize(1);
    assertThat(fixture.usage.records.get(0).getStageCount()).isEqualTo(2);
  }

  @Test
  void confidentResponseOfTheCheapTierIsStreamed() {
    fixture.send(fixture.chat("", true));
    FakeEndpointClient.Call cheapCall = fixture.calls.last();
    cheapCall.head(200);
    cheapCall.data("a");
    cheapCall.data("b");
    cheapCall.end(0.9);
    assertThat(fixture.sink.data).containsExactly("a", "b").inOrder();
    assertThat(end().model()).isEqualTo("small");
    assertThat(fixture.calls.calls).hasSize(1);
  }

  static Stream<Arguments> faults() {
    Consumer<FakeEndpointClient.Call> notSent =
        c -> c.listener().onFailure(CallFailure.NOT_SENT, "refused");
    Consumer<FakeEndpointClient.Call> broken =
        c -> c.listener().onFailure(CallFailure.BROKEN, "reset");
    Consumer<FakeEndpointClient.Call> truncated =
        c -> {
          c.head(200);
          c.data("half");
          c.listener().onFailure(CallFailure.TRUNCATED, "short");
        };
    Consumer<FakeEndpointClient.Call> crossed =
        c -> c.listener().onHead(EndpointResponseHead.of(200, "application/json", "other"));
    Consumer<FakeEndpointClient.Call> error = c -> c.head(503);
    return Stream.of(
        Arguments.of("not sent", notSent, ResultCode.ENDPOINT_FAILED, Ran.NO, false),
        Arguments.of("broken", broken, ResultCode.ENDPOINT_FAILED, Ran.UNKNOWN, true),
        Arguments.of("truncated", truncated, ResultCode.ANSWER_TRUNCATED, Ran.YES, true),
        Arguments.of("crossed", crossed, ResultCode.ANSWER_CROSSED, Ran.UNKNOWN, true),
        Arguments.of("error status", error, ResultCode.ENDPOINT_FAILED, Ran.UNKNOWN, true));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void idempotentCallIsRetriedOnAnotherEndpointOverNewConnection(
      String name,
      Consumer<FakeEndpointClient.Call> fault,
      ResultCode code,
      Ran ran,
      boolean mayHaveRun) {
    fixture.send(fixture.lookup());
    fault.accept(fixture.calls.last());
    assertThat(fixture.calls.calls).hasSize(2);
    assertThat(fixture.calls.last().endpoint().getId()).isEqualTo("e2");
    assertThat(fixture.calls.last().request().freshConnection()).isTrue();
    fixture.calls.last().respond("ok");
    assertThat(fixture.sink.data).containsExactly("ok");
    assertThat(end().ran()).isEqualTo(Ran.YES);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void faultIsReportedWithoutRetryBudget(
      String name,
      Consumer<FakeEndpointClient.Call> fault,
      ResultCode code,
      Ran ran,
      boolean mayHaveRun) {
    fixture.retriesLeft = 0;
    fixture.send(fixture.lookup());
    fault.accept(fixture.calls.last());
    assertRefused(code, ran);
    assertThat(end().retryAfterMs()).isGreaterThan(0L);
    assertThat(fixture.usage.records).isEmpty();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faults")
  void atMostOnceCallIsNeverSentTwice(
      String name,
      Consumer<FakeEndpointClient.Call> fault,
      ResultCode code,
      Ran ran,
      boolean mayHaveRun) {
    fixture.send(fixture.booking(true));
    fault.accept(fixture.calls.last());
    if (mayHaveRun) {
      assertThat(fixture.calls.calls).hasSize(1);
      assertRefused(ResultCode.OUTCOME_UNKNOWN, Ran.UNKNOWN);
      assertThat(results()).containsExactly(LedgerResult.UNKNOWN);
    } else {
      assertThat(fixture.calls.calls).hasSize(2);
    }
  }

  private List<LedgerResult> results() {
    return fixture.ledger.outcomes.stream().map(LedgerOutcome::getResult).toList();
  }

  @Test
  void timedOutAtMostOnceCallIsRefusedAndItsLateResponseIsStored() {
    fixture.send(fixture.booking(true));
    fixture.advance(RequestFixture.FIRST_BYTE_TIMEOUT_MS);
    assertThat(end().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(end().ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(fixture.ledger.outcomes).isEmpty();
    fixture.calls.last().respond("late");
    assertThat(results()).containsExactly(LedgerResult.ANSWERED);
    assertThat(fixture.sink.data).isEmpty();
    assertThat(fixture.engine.activeCount()).isEqualTo(0);
  }

  @Test
  void atMostOnceCallWithoutResponseBecomesUnknown() {
    fixture.send(fixture.booking(true));
    fixture.advance(60_000);
    assertThat(results()).containsExactly(LedgerResult.UNKNOWN);
    assertThat(fixture.calls.calls).hasSize(1);
    assertThat(fixture.engine.activeCount()).isEqualTo(0);
  }

  @Test
  void timedOutIdempotentCallIsRetriedOnAnotherEndpoint() {
    fixture.send(fixture.lookup());
    fixture.advance(RequestFixture.FIRST_BYTE_TIMEOUT_MS);
    assertThat(fixture.calls.cancelled).hasSize(1);
    assertThat(fixture.calls.calls).hasSize(2);
  }

  @Test
  void idleTimeoutEndsTheStream() {
    fixture.send(fixture.chat("large", true));
    fixture.calls.last().head(200);
    fixture.calls.last().data("token");
    fixture.advance(RequestFixture.IDLE_TIMEOUT_MS);
    assertRefused(ResultCode.ENDPOINT_SILENT, Ran.YES);
    assertThat(fixture.calls.calls).hasSize(1);
    assertThat(fixture.usage.records).isEmpty();
  }

  @Test
  void eventsOfAnEndedAttemptAreIgnored() {
    fixture.send(fixture.lookup());
    FakeEndpointClient.Call first = fixture.calls.last();
    fixture.advance(RequestFixture.FIRST_BYTE_TIMEOUT_MS);
    first.respond("late");
    assertThat(fixture.sink.isEnded()).isFalse();
    fixture.calls.last().respond("right");
    assertThat(fixture.sink.data).containsExactly("right");
    assertThat(fixture.usage.records).hasSize(1);
  }

  @Test
  void repeatedKeyReplaysTheStoredResponse() {
    LedgerOutcome first =
        LedgerOutcome.newBuilder()
            .setResult(LedgerResult.ANSWERED)
            .setHttpStatus(201)
            .setContentType("text/plain")
            .setBody(ByteString.copyFromUtf8("booked"))
            .build();
    fixture.ledger.decision = CompletableFuture.completedFuture(new LedgerDecision.Replay(first));
    fixture.send(fixture.booking(false));
    assertThat(fixture.calls.calls).isEmpty();
    assertThat(fixture.sink.data).containsExactly("booked");
    assertThat(end().replayed()).isTrue();
    assertThat(end().httpStatus()).isEqualTo(201);
    assertThat(fixture.usage.records).isEmpty();
  }

  @ParameterizedTest(name = "first attempt {0}")
  @MethodSource("firstAttempts")
  void ledgerOutageIsRefusedImmediately(boolean firstAttempt, Ran ran) {
    fixture.ledger.decision =
        CompletableFuture.failedFuture(
            RefusalException.notRunRetryable(ResultCode.LEDGER_UNAVAILABLE, 2_000, "store out"));
    fixture.send(fixture.booking(firstAttempt));
    assertRefused(ResultCode.LEDGER_UNAVAILABLE, ran);
    assertThat(end().retryAfterMs()).isEqualTo(2_000);
    assertThat(fixture.calls.calls).isEmpty();
  }

  @ParameterizedTest(name = "first attempt {0}")
  @MethodSource("firstAttempts")
  void refusalAtAdmissionReportsNotRunOnlyForNewKeys(boolean firstAttempt, Ran ran) {
    fixture.admission =
        CompletableFuture.failedFuture(
            RefusalException.notRunRetryable(ResultCode.RATE_LIMITED, 500, "limit"));
    fixture.send(fixture.booking(firstAttempt));
    assertRefused(ResultCode.RATE_LIMITED, ran);
  }

  static Stream<Arguments> firstAttempts() {
    return Stream.of(Arguments.of(true, Ran.NO), Arguments.of(false, Ran.UNKNOWN));
  }

  @ParameterizedTest(name = "first attempt {0}")
  @MethodSource("firstAttempts")
  void refusalAfterReservationReportsNotRunOnlyForNewKeys(boolean firstAttempt, Ran ran) {
    fixture.ledger.decision = new CompletableFuture<>();
    fixture.send(fixture.booking(firstAttempt));
    fixture.fresh = false;
    fixture.ledger.decision.complete(new LedgerDecision.Run());
    assertRefused(ResultCode.CONFIG_NOT_FRESH, ran);
    assertThat(results()).containsExactly(LedgerResult.NOT_DISPATCHED);
  }

  @Test
  void requestIsNotDispatchedAfterDeadlineDuringReservation() {
    fixture.ledger.decision = new CompletableFuture<>();
    fixture.send(fixture.booking(true));
    fixture.advance(RequestFixture.DEADLINE_MS);
    assertRefused(ResultCode.DEADLINE_EXCEEDED, Ran.NO);
    fixture.ledger.decision.complete(new LedgerDecision.Run());
    assertThat(fixture.calls.calls).isEmpty();
    assertThat(results()).containsExactly(LedgerResult.NOT_DISPATCHED);
  }

  @Test
  void deadlineWhileQueuedReleasesThePermit() {
    fixture.admission = new CompletableFuture<>();
    fixture.send(fixture.chat("small", false));
    fixture.advance(RequestFixture.DEADLINE_MS);
    assertThat(end().code()).isEqualTo(ResultCode.DEADLINE_EXCEEDED);
    fixture.admission.complete(used -> fixture.outstandingPermits--);
    assertRefused(ResultCode.DEADLINE_EXCEEDED, Ran.NO);
  }

  @Test
  void callerDisconnectCancelsTheCallUnlessItIsAtMostOnce() {
    RequestHandle chat = fixture.send(fixture.chat("small", true));
    chat.onCallerDisconnected();
    assertThat(fixture.calls.cancelled).hasSize(1);
    assertThat(fixture.outstandingPermits).isEqualTo(0);

    RequestFixture otherFixture = new RequestFixture();
    RequestHandle booking = otherFixture.send(otherFixture.booking(true));
    booking.onCallerDisconnected();
    assertThat(otherFixture.calls.cancelled).isEmpty();
    otherFixture.calls.last().respond("booked");
    assertThat(otherFixture.ledger.outcomes.get(0).getResult()).isEqualTo(LedgerResult.ANSWERED);
    assertThat(otherFixture.sink.heads).isEmpty();
  }

  @Test
  void staleConfigurationIsRefusedAfterQueueing() {
    fixture.admission = new CompletableFuture<>();
    fixture.send(fixture.chat("small", false));
    fixture.fresh = false;
    fixture.admission.complete(used -> fixture.outstandingPermits--);
    assertRefused(ResultCode.CONFIG_NOT_FRESH, Ran.NO);
    assertThat(fixture.calls.calls).isEmpty();
  }

  @Test
  void versionWithdrawnWhileQueuedIsNotDispatched() {
    fixture.admission = new CompletableFuture<>();
    fixture.send(fixture.chat("small", false));
    fixture.config =
        new ConfigView(
            8,
            RuleSet.of(
                Stream.concat(
                        RequestFixture.rules().rules().stream(),
                        Stream.of(
                            new Rule.Withdraw(
                                new Rule.Origin(9, "line 9", "operator"), "small", "v1")))
                    .toList()));
    fixture.admission.complete(used -> fixture.outstandingPermits--);
    assertRefused(ResultCode.NO_VERSION_IN_SERVICE, Ran.NO);
    assertThat(end().configVersion()).isEqualTo(8);
  }

  @Test
  void sessionKeepsTheVersionOfItsTokenOrHomeNode() {
    fixture.send(fixture.session("s1", "vestry/s1/small/v0"));
    fixture.calls.last().respond("x");
    assertThat(end().version()).isEqualTo("v0");
    assertThat(end().sessionToken()).isEqualTo("vestry/s1/small/v0");

    RequestFixture otherFixture = new RequestFixture();
    otherFixture.homeVersion = "v0";
    otherFixture.send(otherFixture.session("s1", ""));
    assertThat(otherFixture.calls.last().request().version()).isEqualTo("v0");
  }

  @Test
  void sessionTokenOfAnotherAccountIsRefused() {
    fixture.send(fixture.session("s1", "other/s1/small/v0"));
    assertRefused(ResultCode.SESSION_TOKEN_INVALID, Ran.NO);
  }

  @Test
  void responseNamesItsRuleLinesAndIsRecordedOnce() {
    fixture.send(fixture.booking(true));
    fixture.calls.last().respond("booked");
    assertThat(end().ruleLines()).containsExactly(2, 3);
    assertThat(fixture.decisions).hasSize(1);
    assertThat(fixture.decisions.get(0).getRuleTextList()).containsExactly("line 2", "line 3");
    assertThat(fixture.outcomes).hasSize(1);
  }
}
