package org.currantslip.core.evacuation;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.mirror.KindMirror;
import org.currantslip.core.mirror.MirrorOptions;
import org.currantslip.core.port.KindObject;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Five nodes with a shared store of evacuation orders, on a manually driven clock. */
final class EvacuationFleetTest {
  private static final long EFFECT_MS = 5_000;
  private static final long TICK_MS = 25;
  private static final List<String> BOTH = List.of("IN_PROGRESS", "COMPLETE");

  private final ManualClock clock = ManualClock.startingAt(1_000_000);
  private final FakeEvents events = FakeEvents.on(clock);
  private final FakeOrderStore store = new FakeOrderStore(events);
  private final List<NodeRecord> records =
      IntStream.range(0, 5)
          .mapToObj(
              i ->
                  NodeRecord.newBuilder()
                      .setId(NodeId.newBuilder().setName("n" + i))
                      .setFailureDomain(i == 0 ? "a" : "b")
                      .build())
          .toList();
  private final List<Node> nodes = new ArrayList<>();
  private final List<String> writers = new ArrayList<>();
  private final List<String> refusals = new ArrayList<>();

  private final class Node implements EvacuationListener {
    private final NodeRecord self;
    private final Evacuations evacuations =
        Evacuations.create(clock, ImmutableSet.of("a", "b"), this);
    private final KindMirror mirror;
    private final EvacuationController controller;
    private boolean dead;
    private ImmutableSet<String> evacuated = ImmutableSet.of();

    private Node(int index) {
      self = records.get(index);
      mirror = KindMirror.create("orders", store, clock, MirrorOptions.defaults(), index);
      mirror.setChangeListener(this::readOrders);
      mirror.setLinkListener(
          link -> {
            if (link == KindMirror.Link.RESTORED) {
              evacuations.onStoreRestored();
            }
          });
      controller =
          EvacuationController.create(
              new FixedMembership(self, records),
              evacuations,
              (order, state) -> {
                writers.add(self.getId().getName());
                return store.putStatus(
                    "orders",
                    order.domain(),
                    ByteString.copyFromUtf8(state.name()),
                    order.storeVersion());
              },
              clock,
              EFFECT_MS);
    }

    private void readOrders() {
      List<EvacuationOrder> orders = new ArrayList<>();
      Map<String, Long> unreadable = new HashMap<>();
      for (KindObject object : mirror.objects().values()) {
        if (object.spec().toStringUtf8().equals("{}")) {
          String status = object.status().toStringUtf8();
          orders.add(
              new EvacuationOrder(
                  object.name(),
                  object.version(),
                  EvacuationOrder.State.valueOf(status.isEmpty() ? "ORDERED" : status)));
        } else {
          unreadable.put(object.name(), object.version());
        }
      }
      evacuations.onOrders(orders, unreadable);
    }

    private void tick() {
      mirror.tick();
      evacuations.tick();
      controller.tick();
    }

    @Override
    public void onDomains(ImmutableSet<String> domains) {
      evacuated = domains;
    }

    @Override
    public void onRefused(String domain, long storeVersion, Refusal refusal) {
      refusals.add(domain + " " + refusal);
    }
  }

  private record FixedMembership(NodeRecord self, List<NodeRecord> live) implements Membership {
    @Override
    public List<NodeRecord> entryNodes() {
      return live;
    }

    @Override
    public Optional<NodeRecord> find(String name) {
      return live.stream().filter(n -> n.getId().getName().equals(name)).findFirst();
    }

    @Override
    public boolean isGone(NodeId id) {
      return false;
    }
  }

  @BeforeEach
  void start() {
    IntStream.range(0, 5).forEach(i -> nodes.add(new Node(i)));
    nodes.forEach(n -> n.evacuations.onEndpointDomains(Set.of("a", "b")));
    run(500);
  }

  private void run(long ms) {
    for (long t = 0; t < ms; t += TICK_MS) {
      nodes.stream().filter(n -> !n.dead).forEach(Node::tick);
      events.advance(TICK_MS);
    }
  }

  private boolean all(Predicate<ImmutableSet<String>> condition) {
    return nodes.stream().filter(n -> !n.dead).allMatch(n -> condition.test(n.evacuated));
  }

  /** Guards against an order that some node does not follow, and against needless writes. */
  @Test
  void orderHoldsOnAllNodesUntilItIsRemoved() {
    store.put("a", "{}");
    run(500);
    assertThat(all(Set.of("a")::equals)).isTrue();
    assertThat(store.statusWrites).containsExactly("IN_PROGRESS");
    run(EFFECT_MS);
    assertThat(store.statusWrites).containsExactlyElementsIn(BOTH).inOrder();
    assertThat(Set.copyOf(writers)).hasSize(1);
    assertThat(writers).doesNotContain("n0");
    int callsWhenComplete = store.calls;
    run(10_000);
    assertThat(writers).hasSize(2);
    assertThat(store.calls).isLessThan(callsWhenComplete + 2 * nodes.size());
    store.remove("a");
    run(500);
    assertThat(all(Set::isEmpty)).isTrue();
  }

  /** Guards against a status that waits for dead nodes which nobody suspects yet. */
  @Test
  void statusIsWrittenWithinSecondWhenFirstCandidatesAreDead() {
    store.put("a", "{}");
    run(500);
    String first = writers.get(0);
    node(first).dead = true;
    run(EFFECT_MS + 1_000);
    assertThat(store.statusWrites).containsExactlyElementsIn(BOTH).inOrder();
    String second = writers.get(writers.size() - 1);
    node(second).dead = true;
    store.remove("a");
    run(500);
    store.put("a", "{}");
    run(1_000);
    assertThat(store.statusWrites).hasSize(3);
    assertThat(writers.get(writers.size() - 1)).isNoneOf(first, second);
  }

  private Node node(String name) {
    return nodes.stream()
        .filter(n -> n.self.getId().getName().equals(name))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against an evacuation that ends with the connection to the store. */
  @Test
  void orderHoldsWhileStoreIsSilentAndItsStatusFollows() {
    store.put("a", "{}");
    run(100);
    store.setSilent(true);
    run(60_000);
    assertThat(all(Set.of("a")::equals)).isTrue();
    store.setSilent(false);
    run(15_000);
    assertThat(store.statusWrites).containsExactlyElementsIn(BOTH).inOrder();
  }

  /** Guards against requests to an evacuated domain because the store lost the order. */
  @Test
  void orderMissingAfterRestoreHoldsForTenSeconds() {
    store.put("a", "{}");
    run(500);
    store.restoreEmpty();
    run(9_500);
    assertThat(all(Set.of("a")::equals)).isTrue();
    run(1_000);
    assertThat(all(Set::isEmpty)).isTrue();
  }

  /** Guards against an order that ends although it was written again after the restore. */
  @Test
  void orderWrittenAgainAfterRestoreGoesOn() {
    store.put("a", "{}");
    run(500);
    store.restoreEmpty();
    run(5_000);
    store.put("a", "{}");
    run(20_000);
    assertThat(all(Set.of("a")::equals)).isTrue();
    assertThat(store.statusWrites.get(store.statusWrites.size() - 1)).isEqualTo("COMPLETE");
  }

  /** Guards against a removal that is never seen because the watch lost it. */
  @Test
  void removalIsSeenWhenHistoryIsDiscarded() {
    store.put("a", "{}");
    run(500);
    store.discardHistory();
    store.remove("a");
    run(500);
    assertThat(all(Set::isEmpty)).isTrue();
  }

  /** Guards against bad entries that end what was in force, or that are obeyed. */
  @Test
  void badEntriesAreRefusedAndOrderInForceGoesOn() {
    store.put("a", "{}");
    run(500);
    store.put("a", "[]");
    store.put("nowhere", "{}");
    run(500);
    assertThat(all(Set.of("a")::equals)).isTrue();
    assertThat(refusals).hasSize(2 * nodes.size());
    assertThat(Set.copyOf(refusals)).containsExactly("a UNREADABLE", "nowhere UNKNOWN_DOMAIN");
    nodes.forEach(n -> n.evacuations.onEndpointDomains(Set.of("a", "nowhere")));
    assertThat(all(Set.of("a", "nowhere")::equals)).isTrue();
  }

  /** Guards against an order that is taken as complete since an earlier one of its name was. */
  @Test
  void orderCreatedAnewBetweenTwoLooksBeginsAgain() {
    Evacuations evacuations = nodes.get(0).evacuations;
    evacuations.onOrders(
        List.of(new EvacuationOrder("a", 5, EvacuationOrder.State.COMPLETE)), Map.of());
    clock.advance(EFFECT_MS);
    evacuations.onOrders(
        List.of(new EvacuationOrder("a", 9, EvacuationOrder.State.ORDERED)), Map.of());
    assertThat(evacuations.orders().get(0).firstSeenMs()).isEqualTo(clock.nowMs());
  }
}
