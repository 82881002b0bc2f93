package org.currantslip.core.fleet;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.core.rules.Rule;
import org.currantslip.core.rules.RuleSet;
import org.currantslip.core.usage.UsageReader;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.UsageRecord;

/** Several nodes with a shared fake store, peer network, endpoints and manually driven clock. */
final class Fleet {
  static final long START_MS = 1_800_000_000_000L;
  static final long FIRST_BYTE_MS = 2_000;
  static final long BETWEEN_DATA_MS = 1_000;
  private static final long TICK_MS = 10;
  private static final long FLUSH_MS = 30_000;

  final ManualClock clock = ManualClock.startingAt(START_MS);
  final FakeEvents events = FakeEvents.on(clock);
  final FakeObjectStore store = FakeObjectStore.on(events);
  final FakePeerNetwork network = FakePeerNetwork.create(events);
  final FleetEndpoints endpoints = new FleetEndpoints(events);
  final FleetChecks checks = new FleetChecks(this);
  final Map<String, FleetNode> nodes = new TreeMap<>();
  final Set<FleetCaller.Attempt> disconnectedAttempts = new HashSet<>();
  private final List<FleetCaller> callers = new ArrayList<>();
  private final List<FleetNode> startedNodes = new ArrayList<>();
  private long nextIncarnation = 1;

  Fleet(int size) {
    for (int i = 1; i <= size; i++) {
      start("n" + i);
    }
  }

  private static Rule.Origin origin(int n) {
    return new Rule.Origin(n, "line " + n, "operator");
  }

  static ConfigView config() {
    return new ConfigView(
        1,
        RuleSet.of(
            List.of(
                new Rule.AllowModel(origin(1), "vestry", Rule.ANY, Rule.ANY, Rule.ANY),
                new Rule.AllowService(origin(2), "vestry", FleetEndpoints.SERVICE),
                new Rule.AtMostOnce(
                    origin(3), Rule.ANY, FleetEndpoints.SERVICE, "POST", "/bookings"),
                new Rule.Serve(origin(4), FleetEndpoints.MODEL, FleetEndpoints.VERSION))));
  }

  /** Starts a node; an existing node of the same name is killed and becomes gone. */
  FleetNode start(String name) {
    FleetNode old = nodes.remove(name);
    if (old != null && !old.isDead()) {
      old.kill();
    }
    NodeRecord record = FakeMembership.node(name, nextIncarnation++, "fd-" + name);
    FakeMembership membership = FakeMembership.of(record);
    nodes.values().stream().filter(n -> !n.isDead()).forEach(n -> membership.add(n.record));
    nodes.values().forEach(n -> n.membership.add(record));
    FleetNode node = new FleetNode(this, record, membership, config());
    nodes.put(name, node);
    startedNodes.add(node);
    return node;
  }

  FleetNode node(String name) {
    FleetNode node = nodes.get(name);
    if (node == null) {
      throw new IllegalArgumentException(name);
    }
    return node;
  }

  /** Makes the other nodes remove this node from their live lists without declaring it gone. */
  void suspect(String name) {
    nodes.values().stream()
        .filter(n -> !n.name().equals(name))
        .forEach(n -> n.membership.suspect(name));
  }

  /** Makes all nodes treat this node as live again. */
  void unsuspect(String name) {
    NodeRecord record = node(name).record;
    nodes.values().forEach(n -> n.membership.add(record));
  }

  /** Makes the other nodes treat this node as permanently gone. */
  void declareGone(FleetNode gone) {
    nodes.values().stream()
        .filter(n -> n != gone)
        .forEach(n -> n.membership.declareGone(gone.record.getId()));
  }

  void cutPeers(String name, boolean cut) {
    nodes.keySet().stream().filter(n -> !n.equals(name)).forEach(n -> network.setCut(name, n, cut));
  }

  /** Returns whether any stored ledger object contains this text. */
  boolean ledgerHolds(String text) {
    ByteString expected = ByteString.copyFromUtf8(text);
    return store.listDirectly("ledger/").stream().anyMatch(o -> contains(o.value(), expected));
  }

  private static boolean contains(ByteString value, ByteString expected) {
    return IntStream.rangeClosed(0, value.size() - expected.size())
        .anyMatch(i -> value.substring(i, i + expected.size()).equals(expected));
  }

  FleetCaller caller(String name, boolean service) {
    FleetCaller caller = new FleetCaller(this, name, service);
    callers.add(caller);
    return caller;
  }

  void run(long ms) {
    for (long i = 0; i < ms; i++) {
      step();
    }
  }

  private void step() {
    events.advance(1);
    if (clock.nowMs() % TICK_MS == 0) {
      List.copyOf(nodes.values()).forEach(FleetNode::tick);
    }
  }

  /** Runs until the condition holds; returns false if it does not hold within {@code maxMs}. */
  boolean runUntil(BooleanSupplier condition, long maxMs) {
    for (long i = 0; i < maxMs && !condition.getAsBoolean(); i++) {
      step();
    }
    return condition.getAsBoolean();
  }

  /** Flushes the usage records of all nodes and checks the final invariants. */
  void finish() {
    run(FLUSH_MS);
    nodes.values().stream()
        .filter(n -> !n.isDead())
        .forEach(
            n -> {
              CompletableFuture<Void> unused = n.usage.flush();
            });
    run(FLUSH_MS);
    CompletableFuture<List<UsageRecord>> stored = UsageReader.create(store).read(r -> true);
    run(FLUSH_MS);
    checks.atEnd(callers, stored.join());
  }
}
