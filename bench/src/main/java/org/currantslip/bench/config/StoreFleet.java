package org.currantslip.bench.config;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.config.ConfigFleet;
import org.currantslip.core.config.ConfigNames;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.AcceptedConfig;
import org.jspecify.annotations.Nullable;

/** The simple ways: every node polls the store, or every node watches it. */
final class StoreFleet implements SpreadFleet {
  private static final long RETRY_MS = 500;
  private static final long WATCH_WAIT_MS = 5_000;

  private final FakeEvents events = FakeEvents.on(ManualClock.startingAt(ConfigFleet.START_MS));
  private final FakeObjectStore store = FakeObjectStore.on(events);
  private final Map<String, Node> nodes = new TreeMap<>();
  private final long pollMs;

  private StoreFleet(long pollMs) {
    this.pollMs = pollMs;
  }

  private static final class Node {
    private final FakeObjectStore.Link link;
    private long version;
    private long storeVersion;
    private boolean frozen;

    private Node(FakeObjectStore.Link link) {
      this.link = link;
    }
  }

  /** Returns a fleet whose nodes read the store every {@code pollMs}, spread over that time. */
  static StoreFleet polling(int nodes, long pollMs) {
    StoreFleet fleet = new StoreFleet(pollMs);
    for (int i = 0; i < nodes; i++) {
      Node node = fleet.add(i);
      fleet.events.after(pollMs * i / nodes, () -> fleet.poll(node));
    }
    return fleet;
  }

  /** Returns a fleet whose nodes all keep a watch open. */
  static StoreFleet watching(int nodes) {
    StoreFleet fleet = new StoreFleet(0);
    for (int i = 0; i < nodes; i++) {
      Node node = fleet.add(i);
      fleet.events.after(WATCH_WAIT_MS * i / nodes, () -> fleet.watch(node));
    }
    return fleet;
  }

  private Node add(int number) {
    Node node = new Node(store.newLink());
    nodes.put("n%03d".formatted(number), node);
    return node;
  }

  private Node node(String name) {
    Node node = nodes.get(name);
    if (node == null) {
      throw new IllegalArgumentException("no node " + name);
    }
    return node;
  }

  private void poll(Node node) {
    events.after(pollMs, () -> poll(node));
    if (!node.frozen) {
      var unused = node.link.get(ConfigNames.ACCEPTED).thenAccept(found -> take(node, found));
    }
  }

  private void watch(Node node) {
    CompletableFuture<Optional<StoredObject>> call =
        node.link.watch(ConfigNames.ACCEPTED, node.storeVersion, WATCH_WAIT_MS);
    var unused = call.whenComplete((found, failure) -> again(node, found, failure));
  }

  private void again(
      Node node, @Nullable Optional<StoredObject> found, @Nullable Throwable failure) {
    if (found == null || failure != null) {
      events.after(RETRY_MS, () -> watch(node));
      return;
    }
    take(node, found);
    watch(node);
  }

  private static void take(Node node, Optional<StoredObject> found) {
    found.ifPresent(
        o -> {
          node.storeVersion = Math.max(node.storeVersion, o.version());
          node.version = Math.max(node.version, version(o));
        });
  }

  private static long version(StoredObject object) {
    try {
      return AcceptedConfig.parseFrom(object.value()).getVersion();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public FakeObjectStore store() {
    return store;
  }

  @Override
  public void apply(String node, long base, String rules) {
    AcceptedConfig next =
        AcceptedConfig.newBuilder().setVersion(base + 1).setRulesText(rules).build();
    FakeObjectStore.Link link = node(node).link;
    var unused =
        base == 0
            ? link.create(ConfigNames.ACCEPTED, next.toByteString())
            : link.update(ConfigNames.ACCEPTED, next.toByteString(), base);
  }

  @Override
  public long reached(long version) {
    return nodes.values().stream().filter(n -> !n.frozen && n.version >= version).count();
  }

  @Override
  public void freeze(String node) {
    node(node).frozen = true;
    node(node).link.freeze();
  }

  @Override
  public void thaw(String node) {
    node(node).frozen = false;
    node(node).link.thaw();
  }

  @Override
  public void setSuspected(String node, boolean suspected) {}

  @Override
  public void step() {
    events.advance(1);
  }

  @Override
  public long peerBytes() {
    return 0;
  }
}
