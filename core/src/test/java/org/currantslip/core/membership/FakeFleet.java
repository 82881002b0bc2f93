package org.currantslip.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.currantslip.schema.PeerFrame;

/** A fleet of nodes with a fake network and a fake store, on a manually driven clock. */
final class FakeFleet {
  static final long HEARTBEAT_MS = 500;
  static final long SILENT_MS = 2_500;
  private static final long START_MS = 1_000_000;
  private static final long TICK_MS = 10;
  private static final int DOMAINS = 4;

  private record Node(HeartbeatMembership membership, FakeObjectStore.Link store) {}

  final FakeEvents events = FakeEvents.on(ManualClock.startingAt(START_MS));
  final FakeObjectStore store = FakeObjectStore.on(events);
  final FakePeerNetwork network = FakePeerNetwork.create(events);
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Map<String, Node> frozen = new TreeMap<>();

  private final MembershipOptions options;

  FakeFleet() {
    this(MembershipOptions.of(HEARTBEAT_MS, SILENT_MS));
  }

  private FakeFleet(MembershipOptions options) {
    this.options = options;
  }

  static FakeFleet ofSize(int count) {
    return started(new FakeFleet(), count);
  }

  static FakeFleet ofSize(int count, MembershipOptions options) {
    return started(new FakeFleet(options), count);
  }

  private static FakeFleet started(FakeFleet fleet, int count) {
    IntStream.range(0, count).forEach(i -> fleet.start(nameOf(i), 1));
    return fleet;
  }

  static String nameOf(int index) {
    return String.format("n%03d", index);
  }

  HeartbeatMembership start(String name, long incarnation) {
    NodeRecord self =
        NodeRecord.newBuilder()
            .setId(NodeId.newBuilder().setName(name).setIncarnation(incarnation))
            .setFailureDomain("domain-" + Integer.parseInt(name.substring(1)) % DOMAINS)
            .setPeerAddress("10.0.0.1:1")
            .setState(NodeState.JOINING)
            .build();
    FakeObjectStore.Link link = store.newLink();
    HeartbeatMembership[] holder = new HeartbeatMembership[1];
    var peers = network.join(name, (from, frame) -> deliver(holder[0], from, frame));
    holder[0] = HeartbeatMembership.create(self, link, peers, events.clock(), options);
    if (store.listDirectly(JoinRecord.objectName(name)).isEmpty()) {
      holder[0].assumeNoJoinRecord();
    }
    holder[0].serve();
    nodes.put(name, new Node(holder[0], link));
    return holder[0];
  }

  /** Delivers a frame; as on a real link, the sender's record is presented first. */
  private CompletableFuture<PeerFrame> deliver(
      HeartbeatMembership target, String from, PeerFrame frame) {
    Optional.ofNullable(nodes.getOrDefault(from, frozen.get(from)))
        .ifPresent(n -> target.onRecord(n.membership().self()));
    return CompletableFuture.completedFuture(
        PeerFrame.newBuilder().setHeartbeat(target.onHeartbeat(frame.getHeartbeat())).build());
  }

  void kill(String name) {
    network.remove(name);
    Optional.ofNullable(nodes.remove(name)).ifPresent(n -> n.store().kill());
  }

  void freeze(String name) {
    network.freeze(name);
    Node node = nodes.remove(name);
    if (node != null) {
      node.store().freeze();
      frozen.put(name, node);
    }
  }

  void thaw(String name) {
    Node node = frozen.remove(name);
    if (node != null) {
      nodes.put(name, node);
      node.store().thaw();
    }
    network.thaw(name);
  }

  void cutFromStore(String name, boolean cut) {
    Optional.ofNullable(nodes.get(name)).ifPresent(n -> n.store().setCut(cut));
  }

  HeartbeatMembership membershipOf(String name) {
    return Optional.ofNullable(nodes.get(name)).orElseThrow().membership();
  }

  List<HeartbeatMembership> memberships() {
    return nodes.values().stream().map(Node::membership).toList();
  }

  void run(long durationMs) {
    for (long i = 0; i < durationMs; i += TICK_MS) {
      memberships().forEach(HeartbeatMembership::tick);
      events.advance(TICK_MS);
    }
  }

  /** Returns the names of the nodes that a node considers live. */
  static List<String> live(HeartbeatMembership node) {
    return node.live().stream().map(n -> n.getId().getName()).toList();
  }

  static List<String> entries(HeartbeatMembership node) {
    return node.entryNodes().stream().map(n -> n.getId().getName()).toList();
  }

  static NodeId id(String name, long incarnation) {
    return NodeId.newBuilder().setName(name).setIncarnation(incarnation).build();
  }
}
