package org.currantslip.core.reach;

import static com.google.common.truth.Truth.assertThat;

import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.routing.CallResult;
import org.currantslip.core.routing.RequestTracker;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.ServiceHeard;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the detection of a lost path with calls and peers simulated by the test. */
final class EndpointReachTest {
  private static final String SERVICE = "s";
  private static final long REQUEST_INTERVAL_MS = 160;
  private static final long CONNECT_TIMEOUT_MS = 400;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final PeerReports peers = PeerReports.create(clock, this::onAsk);
  private final List<PathState> states = new ArrayList<>();
  private final EndpointReach reach =
      EndpointReach.create(clock, peers, (from, to, sinceMs) -> states.add(to));
  private final List<CallResult> results = new ArrayList<>();
  private int connectFailures;
  private double expectedHeadMs;
  private String peersHear = SERVICE;

  /** How calls to endpoints fail. */
  enum Loss {
    RESET,
    HANGING_CONNECT,
    SILENT
  }

  private void onAsk() {
    if (!peersHear.isEmpty()) {
      peers.onReport(List.of(ServiceHeard.newBuilder().setService(peersHear).build()));
    }
  }

  private static List<EndpointRecord> endpoints(int count, int domains) {
    return IntStream.range(0, count)
        .mapToObj(
            i ->
                EndpointRecord.newBuilder()
                    .setId("i" + i)
                    .setService(SERVICE)
                    .setFailureDomain("fd" + i % domains)
                    .build())
        .toList();
  }

  private RequestTracker call(EndpointRecord endpoint) {
    RequestTracker call =
        reach.track(
            endpoint,
            new RequestTracker() {
              @Override
              public double expectedHeadMs() {
                return expectedHeadMs;
              }

              @Override
              public void onStarted(long expectedTokens) {}

              @Override
              public void onFirstByte(long firstByteMs) {}

              @Override
              public void onConnectFailure() {
                connectFailures++;
              }

              @Override
              public void onFinished(CallResult result) {
                results.add(result);
              }
            });
    call.onStarted(1);
    return call;
  }

  private void answer(EndpointRecord endpoint) {
    RequestTracker call = call(endpoint);
    call.onHeard();
    call.onFinished(new CallResult(true, false, 1, 1));
  }

  private static void fail(RequestTracker call, Runnable cause) {
    cause.run();
    call.onFinished(new CallResult(false, false, -1, 1));
  }

  private void advance(long ms) {
    for (long t = 0; t < ms; t += 10) {
      clock.advance(10);
      reach.tick();
    }
  }

  /** Sends requests that fail; returns the time until the path is lost, or a limit. */
  private long lose(Loss loss, int endpointCount, int domains, long limitMs) {
    List<EndpointRecord> endpoints = endpoints(endpointCount, domains);
    reach.onEndpoints(endpoints);
    List<RequestTracker> open = new ArrayList<>();
    List<Long> dueMs = new ArrayList<>();
    long startMs = clock.nowMs();
    int sent = 0;
    while (!reach.isCut() && clock.nowMs() - startMs < limitMs) {
      if (clock.nowMs() >= startMs + sent * REQUEST_INTERVAL_MS) {
        RequestTracker call = call(endpoints.get(sent % endpointCount));
        sent++;
        open.add(call);
        dueMs.add(clock.nowMs() + CONNECT_TIMEOUT_MS);
        if (loss == Loss.RESET) {
          fail(call, call::onBroken);
        }
      }
      for (int i = 0; loss == Loss.HANGING_CONNECT && i < open.size(); i++) {
        if (dueMs.get(i) == clock.nowMs()) {
          fail(open.get(i), open.get(i)::onConnectFailure);
        }
      }
      advance(10);
    }
    return clock.nowMs() - startMs;
  }

  /** Guards against a node that sends its callers' requests into a lost path for seconds. */
  @ParameterizedTest
  @EnumSource(Loss.class)
  void detectsLossWithinSecond(Loss loss) {
    assertThat(lose(loss, 60, 4, 2_000)).isAtMost(1_000L);
    assertThat(reach.state().isUnreachable()).isTrue();
  }

  /** Guards against relaying requests of endpoints that are down, which no peer can serve. */
  @ParameterizedTest
  @CsvSource({"4, 2", "4, 1", "1, 1", "60, 4"})
  void takesNothingForLossIfPeersHearNoneEither(int endpointCount, int domains) {
    peersHear = "other";
    lose(Loss.RESET, endpointCount, domains, 5_000);
    assertThat(states).doesNotContain(PathState.CUT);
  }

  /** Guards against a dead failure domain, or a part of a pool, that is taken for a lost path. */
  @Test
  void oneFailureDomainIsNoLoss() {
    List<EndpointRecord> endpoints = endpoints(60, 4);
    reach.onEndpoints(endpoints);
    for (int i = 0; i < 5; i++) {
      RequestTracker call = call(endpoints.get(4 * i));
      fail(call, call::onConnectFailure);
      advance(100);
    }
    assertThat(states).doesNotContain(PathState.CUT);
  }

  /** Guards against a loss that is inferred although a later call was answered. */
  @Test
  void answeredCallRefutesLoss() {
    List<EndpointRecord> endpoints = endpoints(7, 2);
    reach.onEndpoints(endpoints);
    for (int i = 0; i < 20; i++) {
      RequestTracker call = call(endpoints.get(i % 6));
      fail(call, call::onConnectFailure);
      if (i % 2 == 1) {
        answer(endpoints.get(6));
      }
      advance(50);
    }
    assertThat(states).doesNotContain(PathState.CUT);
  }

  /** Guards against connections that live on, which hide that new ones are refused. */
  @Test
  void openStreamDoesNotRefuteRefusedConnections() {
    List<EndpointRecord> endpoints = endpoints(8, 2);
    reach.onEndpoints(endpoints);
    RequestTracker stream = call(endpoints.get(7));
    advance(10);
    for (int i = 0; i < 6; i++) {
      RequestTracker call = call(endpoints.get(i));
      fail(call, call::onConnectFailure);
      advance(50);
      stream.onHeard();
    }
    assertThat(reach.isCut()).isTrue();
    stream.onHeard();
    assertThat(reach.isCut()).isTrue();
  }

  /** Guards against a node that concludes from silence that it caused by having no callers. */
  @Test
  void concludesNothingWithoutCalls() {
    reach.onEndpoints(endpoints(60, 4));
    advance(20_000);
    assertThat(states).isEmpty();
  }

  /** Guards against endpoints that are ejected for a path that is lost. */
  @Test
  void blamesNoEndpointWhileCut() {
    lose(Loss.RESET, 60, 4, 2_000);
    results.clear();
    connectFailures = 0;
    RequestTracker call = call(endpoints(1, 1).get(0));
    fail(call, call::onConnectFailure);
    assertThat(connectFailures).isEqualTo(0);
    assertThat(results.get(0).declined()).isTrue();
  }

  /** Guards against a flood at the return: one trial first, then as many calls as are answered. */
  @Test
  void returnsByOneTrialThenGradually() {
    lose(Loss.RESET, 60, 4, 2_000);
    assertThat(reach.admits(true)).isFalse();
    advance(1_000);
    assertThat(reach.admits(false)).isFalse();
    assertThat(reach.admits(true)).isTrue();
    assertThat(reach.admits(true)).isFalse();

    List<EndpointRecord> endpoints = endpoints(60, 4);
    List<Integer> rounds = new ArrayList<>();
    List<RequestTracker> open = new ArrayList<>(List.of(call(endpoints.get(0))));
    while (reach.state() != PathState.REACHING) {
      advance(50);
      open.forEach(RequestTracker::onHeard);
      open.forEach(c -> c.onFinished(new CallResult(true, false, 1, 1)));
      open.clear();
      while (reach.state() == PathState.RETURNING && open.size() < 100 && reach.admits(true)) {
        open.add(call(endpoints.get(open.size() % 60)));
      }
      rounds.add(open.size());
    }
    assertThat(rounds.get(0)).isAtMost(2);
    assertThat(rounds.get(1)).isAtMost(5);
    assertThat(states.subList(states.indexOf(PathState.CUT), states.size()))
        .containsExactly(PathState.CUT, PathState.RETURNING, PathState.REACHING)
        .inOrder();
  }

  /** Guards against a return that goes on although calls fail again. */
  @Test
  void failedCallsEndReturn() {
    lose(Loss.RESET, 60, 4, 2_000);
    advance(1_000);
    assertThat(reach.admits(true)).isTrue();
    answer(endpoints(1, 1).get(0));
    assertThat(reach.state()).isEqualTo(PathState.RETURNING);
    for (EndpointRecord endpoint : endpoints(2, 2)) {
      RequestTracker call = call(endpoint);
      fail(call, call::onConnectFailure);
    }
    assertThat(reach.isCut()).isTrue();
  }

  /** Guards against a node that stays out of the directory since it has no caller for a trial. */
  @Test
  void returnsWithoutCallers() {
    lose(Loss.RESET, 60, 4, 2_000);
    advance(10_000);
    assertThat(reach.state()).isEqualTo(PathState.REACHING);
  }

  /** Guards against moving the running requests of endpoints that only take their usual time. */
  @Test
  void longPlainResponsesAreNoLossOfThePath() {
    expectedHeadMs = 1_500;
    List<EndpointRecord> endpoints = endpoints(6, 3);
    reach.onEndpoints(endpoints);
    endpoints.forEach(this::call);
    advance(3_000);
    assertThat(reach.state()).isEqualTo(PathState.REACHING);
  }

  /** The refusals of brittle endpoints were lost, since one event was not passed on. */
  @Test
  void passesOnAllEventsOfCall() {
    Class<?> call = call(endpoints(1, 1).get(0)).getClass();
    for (Method method : RequestTracker.class.getMethods()) {
      assertThat(
              Stream.of(call.getDeclaredMethods())
                  .filter(m -> m.getName().equals(method.getName()))
                  .anyMatch(m -> Arrays.equals(m.getParameterTypes(), method.getParameterTypes())))
          .isTrue();
    }
  }
}
