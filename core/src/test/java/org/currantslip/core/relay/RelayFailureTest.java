package org.currantslip.core.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.currantslip.core.common.Ran;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.relay.RelayFleet.Node;
import org.currantslip.core.relay.RelayFleet.Sent;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.RelayData;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests single failures of a relay between a node that is cut off and its peers. */
final class RelayFailureTest {
  private RelayFleet fleet = new RelayFleet(6, ImmutableSet.of());

  private Node helper() {
    return fleet.nodes.stream().filter(n -> n.server.openCount() > 0).findFirst().orElseThrow();
  }

  private void loseHelper(Node cut) {
    Node helper = helper();
    fleet.network.remove(helper.name);
    cut.client.onLinkLost(helper.name);
  }

  /** Guards against a response whose fields, body or events differ from the endpoint's. */
  @Test
  void passesResponsesUnchanged() {
    Node cut = fleet.cutOff(0);
    Sent stream = cut.send(RelayFleet.STREAM);
    Sent body = cut.send(RelayFleet.UNSAFE);
    fleet.run(2_000);
    assertThat(body.text.toString()).isEqualTo("done");
    assertThat(stream.text.toString().split("data", -1)).hasLength(RelayFleet.EVENTS + 1);
    assertThat(stream.heads.get(0).stream()).isTrue();
    assertThat(String.valueOf(stream.heads.get(0).endpointHead())).contains("value=of q");
    assertThat(fleet.runs).hasSize(2);
  }

  /**
   * Guards against an unsafe request that runs twice, or is called "not run", as its helper died.
   */
  @Test
  void unsafeRequestOfLostHelperMayHaveRun() {
    Node cut = fleet.cutOff(0);
    final Sent request = cut.send(RelayFleet.UNSAFE);
    fleet.run(20);
    loseHelper(cut);
    fleet.run(1_000);
    assertThat(request.end().httpStatus()).isEqualTo(502);
    assertThat(request.end().ran()).isEqualTo(Ran.UNKNOWN);
    assertThat(fleet.runs).hasSize(1);
  }

  /** Guards against requests that run on more endpoints than their route allows, on two nodes. */
  @Test
  void helperCountsTheRunsBeforeTheRelay() {
    Node node = fleet.nodes.get(0);
    List<Node> failing = fleet.nodes.subList(0, 5);
    IntStream.range(0, 4).forEach(i -> node.send(RelayFleet.SAFE));
    fleet.run(20);
    failing.forEach(Node::breakOpenCalls);
    fleet.run(20);
    node.setCut(RelayFleet.Cut.HANGING);
    for (int i = 0; i < 200; i++) {
      failing.forEach(Node::breakOpenCalls);
      fleet.nodes.get(5).send(RelayFleet.SAFE);
      fleet.run(10);
    }
    assertThat(fleet.network.frameCount()).isGreaterThan(0L);
    fleet.runs.stream()
        .collect(Collectors.groupingBy(id -> id, Collectors.counting()))
        .forEach((id, runs) -> assertThat(runs).isAtMost(RelayFleet.ATTEMPTS));
  }

  /** Guards against the body of another kind of response in the middle of a relayed stream. */
  @Test
  void relayedStreamIsNotContinuedByAnotherKindOfResponse() {
    Node cut = fleet.cutOff(0);
    final Sent request = cut.send(RelayFleet.STREAM);
    fleet.run(110);
    fleet.contentType = "text/html";
    loseHelper(cut);
    fleet.run(5);
    final String begun = request.text.toString();
    fleet.run(1_000);
    assertThat(begun).isNotEmpty();
    assertThat(request.text.toString()).isEqualTo(begun);
    assertThat(request.end().code()).isNotEqualTo(ResultCode.OK);
  }

  /** Guards against the text of an error in the middle of a relayed stream. */
  @Test
  void relayedStreamIsNotContinuedByErrorResponse() {
    Node cut = fleet.cutOff(0);
    final Sent request = cut.send(RelayFleet.STREAM);
    fleet.run(110);
    final String begun = request.text.toString();
    fleet.status = 500;
    fleet.contentType = "text/plain";
    helper().breakOpenCalls();
    fleet.run(1_000);
    assertThat(begun).isNotEmpty();
    assertThat(request.text.toString()).isEqualTo(begun);
    assertThat(request.end().code()).isNotEqualTo(ResultCode.OK);
  }

  /** Guards against a part of a body, or none, that is relayed as the whole response. */
  @Test
  void relayedResponseThatBreaksAtAnyTimeIsNotComplete() {
    for (int ms = 1; ms < 80; ms++) {
      fleet = new RelayFleet(6, ImmutableSet.of());
      Node cut = fleet.cutOff(0);
      final Sent request = cut.send(RelayFleet.UNSAFE);
      fleet.run(ms);
      fleet.nodes.forEach(Node::breakOpenCalls);
      fleet.run(1_000);
      boolean whole = request.text.toString().equals("done");
      assertWithMessage("served, broken after %s ms", ms)
          .that(request.isServed() && !whole)
          .isFalse();
      assertWithMessage("not run, broken after %s ms", ms)
          .that(request.end().ran() == Ran.NO && !fleet.runs.isEmpty())
          .isFalse();
      assertThat(fleet.runs.size()).isAtMost(1);
    }
  }

  /** Guards against a number that is no status of HTTP, from a peer of an earlier build. */
  @ParameterizedTest
  @ValueSource(ints = {0, 99, 600, 999})
  @Tag("known-red")
  void unknownStatusFromPeerIsNoResponse(int status) {
    fleet.status = status;
    Node cut = fleet.cutOff(0);
    Sent request = cut.send(RelayFleet.UNSAFE);
    fleet.run(1_000);
    assertThat(request.isServed()).isFalse();
    assertThat(request.end().httpStatus()).isEqualTo(502);
  }

  /** Guards against an earlier refusal that is taken for the answer to the next request. */
  @Test
  void refusalThatArrivesTwiceEndsNoOtherRequest() {
    Node cut = fleet.cutOff(0);
    Map<String, PeerFrame> refusals = new HashMap<>();
    fleet.network.setLossPlan(
        (from, to, frame) -> {
          if (frame.hasRelayEnd()) {
            refusals.put(from, frame);
          }
          return false;
        });
    fleet.nodes.forEach(n -> n.serving = false);
    cut.send(RelayFleet.UNSAFE);
    fleet.run(1_000);
    assertThat(refusals).isNotEmpty();
    fleet.nodes.forEach(n -> n.serving = true);
    fleet.run(1_000);
    final Sent request = cut.send(RelayFleet.UNSAFE);
    fleet.run(20);
    Map.copyOf(refusals).forEach(cut.client::onFrame);
    fleet.run(1_000);
    assertThat(request.isServed()).isTrue();
    assertThat(fleet.runs).hasSize(1);
  }

  /** Guards against a request that may be repeated but fails with its helper. */
  @Test
  void otherHelperTakesOver() {
    Node cut = fleet.cutOff(0);
    final Sent request = cut.send(RelayFleet.SAFE);
    Sent stream = cut.send(RelayFleet.STREAM);
    fleet.run(20);
    while (!stream.text.toString().contains("id: 3")) {
      fleet.run(1);
    }
    fleet.nodes.stream()
        .filter(n -> n.server.openCount() > 0)
        .forEach(
            n -> {
              fleet.network.remove(n.name);
              cut.client.onLinkLost(n.name);
            });
    fleet.run(2_000);
    assertThat(request.isServed()).isTrue();
    assertThat(stream.isServed()).isTrue();
    assertThat(stream.text.toString().split("data", -1)).hasLength(RelayFleet.EVENTS + 1);
  }

  /** Guards against a silent helper that holds an unsafe request beyond its acceptance. */
  @Test
  void silentHelperIsGivenUp() {
    Node cut = fleet.cutOff(0);
    fleet.network.setLossPlan((from, to, frame) -> from.equals(cut.name));
    Sent unsafe = cut.send(RelayFleet.UNSAFE);
    fleet.run(700);
    assertThat(unsafe.end().httpStatus()).isEqualTo(502);
    assertThat(unsafe.end().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
  }

  /** Guards against a refusal that is passed on although another peer has room. */
  @Test
  void otherPeerTakesRefusedRequest() {
    Node cut = fleet.cutOff(0);
    fleet.nodes.stream().skip(1).limit(2).forEach(n -> n.serving = false);
    for (int i = 0; i < 20; i++) {
      Sent request = cut.send(RelayFleet.UNSAFE);
      fleet.run(200);
      assertThat(request.isServed()).isTrue();
    }
  }

  /** Guards against a caller that waits, or is told that its request ran, when no peer helps. */
  @Test
  void refusesAtOnceIfNoPeerHelps() {
    Node cut = fleet.cutOff(0);
    fleet.nodes.forEach(n -> n.serving = false);
    Sent refused = cut.send(RelayFleet.UNSAFE);
    fleet.run(20);
    assertThat(refused.end().httpStatus()).isEqualTo(503);
    assertThat(refused.end().ran()).isEqualTo(Ran.NO);
    assertThat(refused.end().retryAfterMs()).isGreaterThan(0L);
    cut.send(RelayFleet.UNSAFE);
    fleet.run(20);
    Sent none = cut.send(RelayFleet.UNSAFE);
    assertThat(none.end().code()).isEqualTo(ResultCode.NO_PATH);
    assertThat(none.end().retryAfterMs()).isGreaterThan(0L);
    assertThat(fleet.runs).isEmpty();
  }

  /** Guards against work for callers that have left. */
  @Test
  void callerThatLeavesEndsCallOfHelper() {
    Node cut = fleet.cutOff(0);
    Sent request = cut.send(RelayFleet.STREAM);
    fleet.run(90);
    int cancelled = fleet.cancelledCalls;
    request.leave();
    fleet.run(5);
    assertThat(fleet.cancelledCalls).isEqualTo(cancelled + 1);
    assertThat(fleet.nodes.stream().mapToInt(n -> n.server.openCount()).sum()).isEqualTo(0);
  }

  /** Guards against unbounded bytes on the way to a caller that does not read. */
  @Test
  void slowCallerHoldsUpHelper() {
    fleet.eventText = "x".repeat(40 << 10);
    Node cut = fleet.cutOff(0);
    Sent request = cut.send(RelayFleet.STREAM);
    request.backlogBytes = 1 << 20;
    fleet.run(1_000);
    assertThat(request.text.length()).isAtMost(3 * (41 << 10));
    request.backlogBytes = 0;
    fleet.run(1_000);
    assertThat(request.isServed()).isTrue();
  }

  /** Guards against events out of order, when frames of two links overtake each other. */
  @Test
  void putsOvertakingFramesInOrder() {
    Node cut = fleet.cutOff(0);
    Sent request = cut.send(RelayFleet.STREAM);
    fleet.network.setLossPlan(
        (from, to, frame) -> {
          boolean late = frame.getRelayData().getSequence() == 3 && frame.hasRelayData();
          if (late) {
            fleet.events.after(50, () -> cut.client.onFrame(from, frame));
          }
          return late;
        });
    fleet.run(1_000);
    assertThat(request.isServed()).isTrue();
    assertThat(request.text.indexOf("id: 3\n")).isLessThan(request.text.indexOf("id: 4\n"));
  }

  /** Guards against data of an earlier incarnation, or of another node, in a response. */
  @Test
  void dropsForeignFrames() {
    Node cut = fleet.cutOff(0);
    final Sent request = cut.send(RelayFleet.STREAM);
    fleet.run(70);
    Node helper = helper();
    for (long id = 0; id < 50; id++) {
      RelayData.Builder data =
          RelayData.newBuilder()
              .setRelayId(id)
              .setSequence(1)
              .setData(ByteString.copyFromUtf8("?"));
      cut.client.onFrame(
          helper.name, PeerFrame.newBuilder().setRelayData(data.setOriginIncarnation(99)).build());
      cut.client.onFrame(
          "other", PeerFrame.newBuilder().setRelayData(data.setOriginIncarnation(1)).build());
    }
    fleet.run(1_000);
    assertThat(request.isServed()).isTrue();
    assertThat(request.text.indexOf("?")).isEqualTo(-1);
  }

  /** Guards against requests that wander between nodes that are all cut off. */
  @Test
  void relayedRequestIsNotRelayedAgain() {
    Node cut = fleet.cutOff(0);
    fleet.nodes.forEach(n -> n.cut = RelayFleet.Cut.REFUSED);
    Sent request = cut.send(RelayFleet.UNSAFE);
    fleet.run(100);
    assertThat(request.end().httpStatus()).isEqualTo(503);
    assertThat(request.end().ran()).isEqualTo(Ran.NO);
    assertThat(fleet.runs).isEmpty();
  }

  /** Guards against a body that is passed to a node outside the home regions. */
  @Test
  void passesBodiesToHomeRegionsOnly() {
    fleet = new RelayFleet(6, ImmutableSet.of("r1", RelayFleet.ENDPOINT_REGION));
    Node cut = fleet.cutOff(0);
    fleet.network.setLossPlan(
        (from, to, frame) -> {
          assertThat(!frame.hasRelayRequest() || to.equals("n1") || to.equals("n5")).isTrue();
          return false;
        });
    for (int i = 0; i < 10; i++) {
      Sent request = cut.send(RelayFleet.SAFE);
      fleet.run(100);
      assertThat(request.isServed()).isTrue();
    }
  }
}
