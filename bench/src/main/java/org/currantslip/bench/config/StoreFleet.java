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

/**
 * Baselines without peer communication: every node polls the store, or every node keeps a watch
 * open on it.
 */
final class StoreFleet implements SimulatedFleet {
  private static final long WATCH_RETRY_MS = 500;
  private static final long WATCH_WAIT_MS = 5_000;

  private final FakeEvents events = FakeEvents.on(ManualClock.startingAt(ConfigFleet.START_MS));
  private final FakeObjectStore store = FakeObjectStore.on(events);
  private final Map<String, Node> nodes = new TreeMap<>();
  private final long pollIntervalMs;

  private StoreFleet(long pollIntervalMs) {
    this.pollIntervalMs = pollIntervalMs;
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

  /** Returns a fleet whose nodes read the store every {@code pollIntervalMs}, evenly staggered. */
  static StoreFleet polling(int nodes, long pollIntervalMs) {
    StoreFleet fleet = new StoreFleet(pollIntervalMs);
    for (int i = 0; i < nodes; i++) {
      Node node = fleet.addNode(i);
      fleet.events.after(pollIntervalMs * i / nodes, () -> fleet.poll(node));
    }
    return fleet;
  }

  /** Returns a fleet whose nodes all keep a watch open, started evenly staggered. */
  static StoreFleet watching(int nodes) {
    StoreFleet fleet = new StoreFleet(0);
    for (int i = 0; i < nodes; i++) {
      Node node = fleet.addNode(i);
      fleet.events.after(WATCH_WAIT_MS * i / nodes, () -> fleet.watch(node));
    }
    return fleet;
  }

  private Node addNode(int index) {
    Node node = new Node(store.newLink());
    nodes.put("n%03d".formatted(index), node);
    return node;
  }

  private Node findNode(String name) {
    Node node = nodes.get(name);
    if (node == null) {
      throw new IllegalArgumentException("unknown node " + name);
    }
    return node;
  }

  private void poll(Node node) {
    events.after(pollIntervalMs, () -> poll(node));
    if (!node.frozen) {
      var unused =
          node.link.get(ConfigNames.ACCEPTED).thenAccept(found -> applyVersion(node, found));
    }
  }

  private void watch(Node node) {
    CompletableFuture<Optional<StoredObject>> watchResult =
        node.link.watch(ConfigNames.ACCEPTED, node.storeVersion, WATCH_WAIT_MS);
    var unused = watchResult.whenComplete((found, failure) -> onWatchResult(node, found, failure));
  }

  private void onWatchResult(
      Node node, @Nullable Optional<StoredObject> found, @Nullable Throwable failure) {
    if (found == null || failure != null) {
      events.after(WATCH_RETRY_MS, () -> watch(node));
      return;
    }
    applyVersion(node, found);
    watch(node);
  }

  private static void applyVersion(Node node, Optional<StoredObject> found) {
    found.ifPresent(
        object -> {
          node.storeVersion = Math.max(node.storeVersion, object.version());
          node.version = Math.max(node.version, parseVersion(object));
        });
  }

  private static long parseVersion(StoredObject object) {
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
  public void apply(String node, long baseVersion, String rules) {
    AcceptedConfig config =
        AcceptedConfig.newBuilder().setVersion(baseVersion + 1).setRulesText(rules).build();
    FakeObjectStore.Link link = findNode(node).link;
    var unused =
        baseVersion == 0
            ? link.create(ConfigNames.ACCEPTED, config.toByteString())
            : link.update(ConfigNames.ACCEPTED, config.toByteString(), baseVersion);
  }

  @Override
  public long countAtVersion(long version) {
    return nodes.values().stream().filter(node -> !node.frozen && node.version >= version).count();
  }

  @Override
  public void freeze(String node) {
    findNode(node).frozen = true;
    findNode(node).link.freeze();
  }

  @Override
  public void thaw(String node) {
    findNode(node).frozen = false;
    findNode(node).link.thaw();
  }

  @Override
  public void setSuspected(String node, boolean suspected) {}

  @Override
  public void advanceOneMs() {
    events.advance(1);
  }

  @Override
  public long peerBytes() {
    return 0;
  }
}
