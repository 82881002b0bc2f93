package org.currantslip.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.UsageRecord;

/** Several usage spools on one fake store. */
final class UsageCluster {
  private static final long START_MS = 1_800_000_000_000L;
  private static final long TICK_MS = 10;
  private static final int FAILURE_DOMAINS = 4;

  final ManualClock clock = ManualClock.startingAt(START_MS);
  final FakeEvents events = FakeEvents.on(clock);
  final FakeObjectStore store = FakeObjectStore.on(events);
  final FakePeerNetwork network = FakePeerNetwork.create(events);
  final Map<String, Node> nodes = new TreeMap<>();
  final Set<NodeId> dead = new HashSet<>();

  /** Ids of requests whose records became durable, so that they were answered. */
  final Set<String> answered = new HashSet<>();

  final Set<String> added = new HashSet<>();
  private final Map<String, Integer> domains = new HashMap<>();
  private final UsageOptions options;
  private long nextRequest = 1;
  private long nextIncarnation = 1;

  private UsageCluster(UsageOptions options) {
    this.options = options;
  }

  static UsageCluster of(int size) {
    return of(size, UsageOptions.of(16_384, 2_000));
  }

  static UsageCluster of(int size, UsageOptions options) {
    UsageCluster cluster = new UsageCluster(options);
    for (int i = 0; i < size; i++) {
      cluster.start("n" + i);
    }
    return cluster;
  }

  final class Node {
    final NodeRecord record;
    final FakeObjectStore.Link link = store.newLink();
    final FakeMembership membership;
    final PeerUsageSpool spool;
    boolean frozen;

    private Node(NodeRecord record) {
      this.record = record;
      membership = FakeMembership.of(record);
      nodes.values().forEach(n -> membership.add(n.record));
      nodes.values().forEach(n -> n.membership.add(record));
      spool =
          PeerUsageSpool.create(
              record, link, network.join(name(), this::onFrame), membership, clock, options);
    }

    String name() {
      return record.getId().getName();
    }

    private CompletableFuture<PeerFrame> onFrame(String from, PeerFrame frame) {
      switch (frame.getBodyCase()) {
        case USAGE_COPY -> {
          return CompletableFuture.completedFuture(
              PeerFrame.newBuilder().setUsageCopyAck(spool.onCopy(frame.getUsageCopy())).build());
        }
        case USAGE_RELEASE -> spool.onRelease(frame.getUsageRelease());
        default -> throw new AssertionError(frame);
      }
      return new CompletableFuture<>();
    }
  }

  Node start(String name) {
    if (nodes.containsKey(name)) {
      kill(name);
    }
    int domain = domains.computeIfAbsent(name, n -> domains.size() % FAILURE_DOMAINS);
    Node node = new Node(FakeMembership.node(name, nextIncarnation++, "fd-" + domain));
    nodes.put(name, node);
    return node;
  }

  void kill(String name) {
    Node node = node(name);
    node.link.kill();
    network.remove(name);
    nodes.remove(name);
    dead.add(node.record.getId());
  }

  void declareGone(NodeId id) {
    nodes.values().stream()
        .filter(n -> !n.record.getId().equals(id))
        .forEach(n -> n.membership.declareGone(id));
  }

  void freeze(String name) {
    node(name).frozen = true;
    node(name).link.freeze();
    network.freeze(name);
  }

  void thaw(String name) {
    node(name).frozen = false;
    network.thaw(name);
    node(name).link.thaw();
  }

  Node node(String name) {
    Node node = nodes.get(name);
    if (node == null) {
      throw new IllegalArgumentException(name);
    }
    return node;
  }

  /** Adds the usage record of a request; the request is answered once the record is durable. */
  String request(String name) {
    String id = "r" + nextRequest++;
    UsageRecord rec =
        UsageRecord.newBuilder().setRequestId(id).setAccount("account-" + name).build();
    added.add(id);
    node(name).spool.add(rec).thenAccept(durable -> answered.add(id));
    return id;
  }

  void run(long ms) {
    for (long i = 0; i < ms; i++) {
      events.advance(1);
      if (clock.nowMs() % TICK_MS == 0) {
        List.copyOf(nodes.values()).stream().filter(n -> !n.frozen).forEach(n -> n.spool.tick());
      }
    }
  }

  /** Returns the request ids found by the reader, in order and including duplicates. */
  List<String> billed() {
    List<String> ids = new ArrayList<>();
    CompletableFuture<List<UsageRecord>> read = UsageReader.create(store).read(r -> true);
    for (int i = 0; i < 10_000 && !read.isDone(); i++) {
      events.advance(1);
    }
    read.join().forEach(r -> ids.add(r.getRequestId()));
    return ids;
  }
}
