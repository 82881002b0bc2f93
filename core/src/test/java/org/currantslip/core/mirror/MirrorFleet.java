package org.currantslip.core.mirror;

import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** A fleet of mirrors of one kind on a driven clock, with simulated links and store. */
final class MirrorFleet {
  static final int DOMAINS = 4;
  static final String KIND = "things";
  private static final long TICK_MS = 10;
  private static final long HEARTBEAT_MS = 600;

  /** Neighbours on each side of a node in the heartbeat ring. */
  private static final int HEARTBEAT_PEERS = 3;

  /** Exceeds the time for which a watcher that was asked before it had a copy is avoided. */
  private static final long SETTLE_MS = 3_000;

  final FakeEvents events = FakeEvents.on(ManualClock.startingAt(1_000_000));
  final FakeKindStore store = FakeKindStore.on(events);
  final FakePeerNetwork network = FakePeerNetwork.create(events);
  final TreeMap<String, Node> nodes = new TreeMap<>();
  private List<NodeRecord> live = List.of();

  /** A node and its copy of the store. */
  final class Node {
    final FakeMembership membership;
    final FakeKindStore.Link link = store.newLink();
    final KindMirror mirror;
    final StoreWatchers watchers;
    private final MirrorRelay relay;
    final MirrorGossip gossip;
    private final StoreProbe probe;
    private final MirrorCopies copies;
    private final RelayedFeed feed;
    private boolean frozen;

    private Node(NodeRecord self) {
      membership = FakeMembership.of(self);
      live.forEach(membership::add);
      String name = name();
      watchers = StoreWatchers.create(membership, events.clock());
      var peers = network.join(name, this::handle);
      copies = MirrorCopies.create(peers, events.clock());
      feed = RelayedFeed.create(link, peers, copies, watchers, events.clock());
      mirror =
          KindMirror.create(KIND, feed, events.clock(), MirrorOptions.defaults(), name.hashCode());
      relay = MirrorRelay.create(List.of(mirror), watchers::isWatcher, copies, events.clock());
      probe = StoreProbe.create(link, relay::hasFollowers, events.clock(), mirror::onStoreSilent);
      gossip =
          MirrorGossip.create(List.of(mirror), peers, copies, events.clock(), (n, failure) -> {});
    }

    String name() {
      return membership.self().getId().getName();
    }

    private CompletableFuture<PeerFrame> handle(String from, PeerFrame frame) {
      CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
      PeerFrame.Builder answer = PeerFrame.newBuilder();
      if (frame.hasMirrorWatch()) {
        relay.onWatch(
            from, frame.getMirrorWatch(), c -> reply.complete(answer.setMirrorChanges(c).build()));
      } else if (frame.hasCopyPartRequest()) {
        reply.complete(answer.setCopyPart(copies.answer(from, frame.getCopyPartRequest())).build());
      } else {
        gossip
            .answer(frame.getMirrorRequest())
            .ifPresent(s -> reply.complete(answer.setMirrorSnapshot(s).build()));
      }
      return reply;
    }

    boolean isFrozen() {
      return frozen;
    }

    /** Stops the node without closing its links; frames to it wait. */
    void freeze() {
      frozen = true;
      network.freeze(name());
    }

    private void tick() {
      if (!frozen) {
        watchers.pollWatcherChange().ifPresent(change -> mirror.restart());
        feed.tick();
        mirror.tick();
        relay.tick();
        probe.tick();
        gossip.tick();
        copies.tick();
      }
    }
  }

  void start(int count) {
    start(count, DOMAINS);
  }

  /** Starts nodes that are spread evenly over failure domains. */
  void start(int count, int domains) {
    live =
        IntStream.range(0, count)
            .mapToObj(i -> FakeMembership.node("n%03d".formatted(i), 1, "domain-" + i % domains))
            .toList();
    live.forEach(rec -> nodes.put(rec.getId().getName(), new Node(rec)));
    advance(SETTLE_MS);
  }

  void advance(long byMs) {
    for (long ms = 0; ms < byMs; ms += TICK_MS) {
      nodes.values().forEach(Node::tick);
      events.advance(TICK_MS);
    }
  }

  /** Advances while each node exchanges heartbeats with its neighbours in name order. */
  void advanceWithHeartbeats(long byMs) {
    List<Node> ring = List.copyOf(nodes.values());
    for (int i = 0; i < ring.size(); i++) {
      int index = i;
      ring.get(i).gossip.setCopyListener(() -> exchangeHeartbeats(ring, index));
    }
    for (long ms = 0; ms < byMs; ms += HEARTBEAT_MS) {
      IntStream.range(0, ring.size()).forEach(i -> exchangeHeartbeats(ring, i));
      advance(Math.min(HEARTBEAT_MS, byMs - ms));
    }
  }

  private void exchangeHeartbeats(List<Node> ring, int index) {
    Node a = ring.get(index);
    if (a.frozen) {
      return;
    }
    for (int step = 1; step <= HEARTBEAT_PEERS; step++) {
      Node b = ring.get((index + step) % ring.size());
      Node c = ring.get((index - step + ring.size()) % ring.size());
      b.gossip.onRevisions(a.name(), a.gossip.revisions());
      c.gossip.onRevisions(a.name(), a.gossip.revisions());
    }
  }

  Stream<Node> watchers() {
    return nodes.values().stream().filter(n -> n.watchers.isWatcher());
  }

  /** Returns a node that watches the store and a node that follows it. */
  List<Node> watcherAndFollower() {
    Node follower =
        nodes.values().stream().filter(n -> !n.watchers.isWatcher()).findFirst().orElseThrow();
    return List.of(nodes.get(follower.watchers.watcher().orElseThrow()), follower);
  }
}
