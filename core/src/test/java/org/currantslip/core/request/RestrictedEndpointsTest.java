package org.currantslip.core.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.currantslip.core.cascade.SizeCascade;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.limits.RetryBudget;
import org.currantslip.core.limits.SlotQueue;
import org.currantslip.core.quarantine.PromptQuarantine;
import org.currantslip.core.quarantine.QuarantinePeers;
import org.currantslip.core.rollout.ServiceRollouts;
import org.currantslip.core.route.Account;
import org.currantslip.core.route.CallerLimits;
import org.currantslip.core.route.Route;
import org.currantslip.core.route.RouteHolder;
import org.currantslip.core.route.RouteKind;
import org.currantslip.core.route.RouteTable;
import org.currantslip.core.route.WeightedService;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests whose endpoints are restricted by evacuated failure domains or by homes. */
final class RestrictedEndpointsTest {
  private static final int SLOTS = 2;
  private static final ImmutableSet<String> NORTH = ImmutableSet.of("north");

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final RouteHolder routes = RouteHolder.create();
  private final FakeEndpointClient calls = new FakeEndpointClient();
  private final ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "a", 1);
  private final List<RequestOutcome> outcomes = new ArrayList<>();
  private final RetryBudget retryBudget =
      RetryBudget.create(clock, new RetryBudget.Bound(0, 0, 10_000), () -> 1);
  private final RequestEngine engine =
      RequestEngine.forwarding(
          new ForwardPorts(
              clock,
              routes,
              SlotQueue.withHomes(clock, chooser::freeSlots, service -> 0, 1),
              chooser,
              retryBudget,
              ServiceRollouts.create(NodeId.getDefaultInstance(), h -> {}),
              SizeCascade.create(),
              PromptQuarantine.create(clock, QuarantinePeers.none("n")),
              calls,
              outcomes::add,
              (event, id, fields) -> {}));

  @BeforeEach
  void start() {
    routes.replaceIfNewer(
        RouteTable.of(
            1,
            List.of(route("all", ImmutableSet.of()), route("north", NORTH)),
            Map.of(
                "key", new Account("any", OptionalInt.empty()),
                "south", new Account("south", OptionalInt.empty(), ImmutableSet.of("south"))),
            CallerLimits.defaults()));
    // Domain a is in the north, b in the south, and c in a region that the settings do not name.
    chooser.onEndpoints(List.of(endpoint("a", "north"), endpoint("b", "south"), endpoint("c", "")));
  }

  private static Route route(String name, ImmutableSet<String> homes) {
    return new Route(
        name,
        "host",
        "/" + name + "/",
        RouteKind.SAFE,
        List.of(new WeightedService("s", 1)),
        3,
        4_000,
        1_000,
        600,
        1,
        false,
        false,
        List.of(),
        homes);
  }

  private static EndpointRecord endpoint(String domain, String region) {
    return EndpointRecord.newBuilder()
        .setId("i-" + domain)
        .setService("s")
        .setVersion("v")
        .setSlots(SLOTS)
        .setFailureDomain(domain)
        .setRegion(region)
        .build();
  }

  private ForwardedResponseSink send(String routeName, String key) {
    ForwardedResponseSink sink = new ForwardedResponseSink();
    engine.start(
        new RouterRequest(
            "id",
            "",
            "",
            "",
            "",
            "GET",
            "/" + routeName + "/x",
            "",
            ByteString.EMPTY,
            false,
            null,
            true,
            "",
            "",
            clock.nowMs() + 4_000,
            0,
            0,
            0,
            0,
            new ForwardedRequest("host", key, List.of(), List.of(), "", clock.nowMs())),
        sink);
    return sink;
  }

  private List<String> calledDomains() {
    return calls.calls.stream().map(c -> c.endpoint().getFailureDomain()).toList();
  }

  private ResultCode lastCode() {
    return outcomes.get(outcomes.size() - 1).code();
  }

  /** Guards against first tries in an evacuated domain, and against use of its slots. */
  @Test
  void requestsUseRemainingDomainsOnlyUpToTheirSlots() {
    chooser.setEvacuated(ImmutableSet.of("a"));
    IntStream.range(0, 10).forEach(i -> send("all", "key"));
    assertThat(calledDomains()).containsExactly("b", "b", "c", "c");
  }

  /** Guards against a request that is written after the order, since it was chosen before. */
  @Test
  void requestAboutToBeWrittenGoesElsewhereWithoutRetryBudget() {
    send("north", "key");
    ForwardedCall forwarded = calls.last().request().forwarded();
    assertThat(forwarded == null || forwarded.abandoned().getAsBoolean()).isFalse();
    chooser.setEvacuated(ImmutableSet.of("a"));
    assertThat(forwarded != null && forwarded.abandoned().getAsBoolean()).isTrue();
    calls.last().listener().onFailure(CallFailure.WITHDRAWN, "test");
    assertThat(lastCode()).isEqualTo(ResultCode.EVACUATED);
    assertThat(calls.calls).hasSize(1);

    chooser.setEvacuated(ImmutableSet.of());
    send("all", "key");
    String first = calls.last().endpoint().getFailureDomain();
    chooser.setEvacuated(ImmutableSet.of(first));
    calls.last().listener().onFailure(CallFailure.WITHDRAWN, "test");
    assertThat(calls.calls).hasSize(3);
    assertThat(calls.last().endpoint().getFailureDomain()).isNotEqualTo(first);
  }

  /** Guards against waiting requests that are held until their objective has passed. */
  @Test
  void waitingRequestsAreRefusedAtOnceWhenAllDomainsAreEvacuated() {
    IntStream.range(0, 3 * SLOTS + 1).forEach(i -> send("all", "key"));
    assertThat(outcomes).isEmpty();
    chooser.setEvacuated(ImmutableSet.of("a", "b", "c"));
    engine.tick();
    assertThat(outcomes).hasSize(1);
    assertThat(lastCode()).isEqualTo(ResultCode.EVACUATED);
    send("all", "key");
    assertThat(outcomes).hasSize(2);
  }

  /** Guards against requests in regions that the route or the account does not allow. */
  @Test
  void homesOfRouteAndAccountBothBind() {
    send("north", "key");
    send("all", "south");
    assertThat(calledDomains()).containsExactly("a", "b").inOrder();
    send("north", "south");
    assertThat(lastCode()).isEqualTo(ResultCode.NO_ALLOWED_REGION);
    assertThat(calls.calls).hasSize(2);
  }

  /** Guards against free slots of other regions that let a request through to a full endpoint. */
  @Test
  void slotsOfOtherRegionsDoNotCount() {
    IntStream.range(0, SLOTS + 1).forEach(i -> send("north", "key"));
    assertThat(calledDomains()).containsExactly("a", "a");
    send("all", "key");
    assertThat(calledDomains().get(SLOTS)).isNotEqualTo("a");
    calls.calls.get(0).respond("x");
    assertThat(calledDomains()).hasSize(SLOTS + 2);
    assertThat(calledDomains().get(SLOTS + 1)).isEqualTo("a");
  }

  /** Guards against a wait for a region none of whose endpoints can be reached. */
  @Test
  void requestIsRefusedAtOnceWhenItsRegionIsUnreachable() {
    send("north", "key");
    calls.last().listener().onFailure(CallFailure.NOT_SENT, "test");
    assertThat(lastCode()).isEqualTo(ResultCode.NO_ALLOWED_REGION);
    assertThat(calls.calls).hasSize(1);
  }
}
