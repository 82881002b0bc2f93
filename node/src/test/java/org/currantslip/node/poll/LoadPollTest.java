package org.currantslip.node.poll;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.routing.EndpointLoad;
import org.currantslip.core.routing.ExpectedWaitChooser;
import org.currantslip.schema.EndpointRecord;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.junit.jupiter.api.Test;

final class LoadPollTest {
  private static final int NODES = 420;
  private static final int MAX_POLLS_PER_S = 24;
  private static final long TICK_MS = 10;

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final ExpectedWaitChooser chooser = ExpectedWaitChooser.create(clock, "d0", 1);
  private final Map<String, Integer> fetchCounts = new HashMap<>();
  private final LoadPoll poll =
      LoadPoll.create(
          this::fetch,
          new FixedMembership(),
          chooser,
          RecentEndpointTracker.create((endpoint, request, listener) -> () -> {}, clock),
          clock);

  private CompletableFuture<EndpointLoad> fetch(EndpointRecord endpoint) {
    fetchCounts.merge(endpoint.getId(), 1, Integer::sum);
    return CompletableFuture.completedFuture(
        new EndpointLoad(endpoint.getId(), 1, 0, 10, clock.nowMs()));
  }

  private void run(int endpoints, long durationMs) {
    chooser.onEndpoints(
        IntStream.range(0, endpoints)
            .mapToObj(i -> EndpointRecord.newBuilder().setId("e" + i).setModel("m").build())
            .toList());
    for (long i = 0; i < durationMs; i += TICK_MS) {
      poll.tick();
      clock.advance(TICK_MS);
    }
  }

  @Test
  void pollsEveryEndpointOfSmallFleetEachSecond() {
    run(17, 10_000);

    assertThat(fetchCounts).hasSize(17);
    fetchCounts.values().forEach(count -> assertThat(count).isEqualTo(10));
    assertThat(chooser.load("e3")).isPresent();
  }

  @Test
  void boundsPollRateInLargeFleet() {
    run(2_000, 10_000);

    int total = fetchCounts.values().stream().mapToInt(Integer::intValue).sum();
    assertThat(total).isGreaterThan(0);
    assertThat(total).isAtMost(10 * MAX_POLLS_PER_S);
  }

  /** Membership of a fixed set of nodes. */
  private static final class FixedMembership implements Membership {
    private final List<NodeRecord> nodes =
        IntStream.range(0, NODES)
            .mapToObj(
                i ->
                    NodeRecord.newBuilder()
                        .setId(NodeId.newBuilder().setName("n" + i).setIncarnation(1))
                        .build())
            .toList();

    @Override
    public NodeRecord self() {
      return nodes.get(0);
    }

    @Override
    public List<NodeRecord> live() {
      return nodes;
    }

    @Override
    public List<NodeRecord> entryNodes() {
      return nodes;
    }

    @Override
    public Optional<NodeRecord> find(String name) {
      return nodes.stream().filter(n -> n.getId().getName().equals(name)).findFirst();
    }

    @Override
    public boolean isGone(NodeId id) {
      return false;
    }
  }
}
