package org.currantslip.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.currantslip.core.common.ManualClock;
import org.currantslip.core.fake.FakeEvents;
import org.currantslip.core.fake.FakeMembership;
import org.currantslip.core.fake.FakeObjectStore;
import org.currantslip.core.fake.FakePeerNetwork;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.ApplyReply;
import org.currantslip.schema.ApplyRequest;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Configuration keepers of a fleet that share a fake store, network and manually driven clock. */
public final class ConfigFleet {
  /** Time at which the clock starts. */
  public static final long START_MS = 1_700_000_000_000L;

  /** Freshness bound of the nodes. */
  public static final long FRESH_MS = 4_000;

  /** Timeout of store calls. */
  public static final long STORE_TIMEOUT_MS = 2_000;

  private static final long TICK_MS = 10;

  final FakeEvents events = FakeEvents.on(ManualClock.startingAt(START_MS));
  final FakeObjectStore store = FakeObjectStore.on(events);
  final FakePeerNetwork network = FakePeerNetwork.create(events);
  final Map<String, Member> members = new TreeMap<>();
  private final Map<String, Long> versions = new HashMap<>();
  private final List<String> reversions = new ArrayList<>();
  private final int domains;
  private long incarnation;

  /** One node of the fleet. */
  static final class Member {
    final ConfigManager configManager;
    final FakeMembership membership;
    final FakeObjectStore.Link link;
    final NodeRecord record;
    boolean frozen;

    Member(
        ConfigManager configManager,
        FakeMembership membership,
        FakeObjectStore.Link link,
        NodeRecord record) {
      this.configManager = configManager;
      this.membership = membership;
      this.link = link;
      this.record = record;
    }
  }

  private ConfigFleet(int domains) {
    this.domains = domains;
  }

  /** Returns a fleet of started nodes n000, n001 and so on, distributed over failure domains. */
  public static ConfigFleet of(int nodes, int domains) {
    ConfigFleet fleet = new ConfigFleet(domains);
    for (int i = 0; i < nodes; i++) {
      fleet.start("n%03d".formatted(i));
    }
    return fleet;
  }

  /** Starts a node, or restarts it with a new incarnation. */
  Member start(String name) {
    long number = ++incarnation;
    String domain = "d" + Integer.parseInt(name.substring(1)) % domains;
    NodeRecord record = FakeMembership.node(name, number, domain);
    FakeMembership membership = FakeMembership.of(record);
    members.values().forEach(m -> membership.add(m.record));
    members.values().forEach(m -> m.membership.add(record));
    FakeObjectStore.Link link = store.newLink();
    ConfigManager[] holder = new ConfigManager[1];
    PeerNetwork peers = network.join(name, (from, frame) -> answer(holder[0], from, frame));
    holder[0] =
        ConfigManager.create(
            record.getId(),
            link,
            peers,
            membership,
            events.clock(),
            ConfigOptions.of(FRESH_MS, STORE_TIMEOUT_MS, number));
    Member member = new Member(holder[0], membership, link, record);
    members.put(name, member);
    versions.remove(name);
    holder[0].start();
    return member;
  }

  /** Kills a node; the others still consider it live until it is marked as suspected. */
  public void kill(String name) {
    network.remove(name);
    member(name).link.kill();
    members.remove(name);
  }

  /** Freezes a node as SIGSTOP would; messages to it are held. */
  public void freeze(String name) {
    member(name).frozen = true;
    member(name).link.freeze();
    network.freeze(name);
  }

  /** Resumes a frozen node. */
  public void thaw(String name) {
    member(name).frozen = false;
    member(name).link.thaw();
    network.thaw(name);
  }

  Member member(String name) {
    Member member = members.get(name);
    if (member == null) {
      throw new IllegalArgumentException("no node " + name);
    }
    return member;
  }

  /** Applies rules through a node. */
  public CompletableFuture<ApplyReply> apply(String node, long base, String rules) {
    return apply(node, base, rules, 0);
  }

  CompletableFuture<ApplyReply> apply(String node, long base, String rules, long nonce) {
    return member(node)
        .configManager
        .apply(
            "op",
            ApplyRequest.newBuilder()
                .setBaseVersion(base)
                .setRulesText(rules)
                .setAskedBy("Ana")
                .setNonce(nonce)
                .build());
  }

  /** Advances the clock. */
  public void run(long ms) {
    runUntil(() -> false, ms);
  }

  /** Advances the clock until a condition holds; returns whether it did within the time limit. */
  public boolean runUntil(BooleanSupplier condition, long timeoutMs) {
    for (long t = 0; t < timeoutMs && !condition.getAsBoolean(); t++) {
      events.advance(1);
      if (events.clock().nowMs() % TICK_MS == 0) {
        members.values().stream().filter(m -> !m.frozen).forEach(m -> m.configManager.tick());
        members.forEach(this::recordVersion);
      }
    }
    return condition.getAsBoolean();
  }

  /** Returns whether a version is in force on every node that is not frozen. */
  public boolean everywhere(long version) {
    return members.values().stream()
        .filter(m -> !m.frozen)
        .allMatch(m -> m.configManager.current().version() >= version);
  }

  /** Returns every decrease of a node's version; must be empty. */
  List<String> reversions() {
    return reversions;
  }

  /** Returns the store of the fleet. */
  public FakeObjectStore store() {
    return store;
  }

  /** Returns the network between the nodes. */
  public FakePeerNetwork network() {
    return network;
  }

  /** Sets whether the other nodes suspect a node. */
  public void setSuspected(String name, boolean suspected) {
    NodeRecord record = member(name).record;
    members.values().stream()
        .filter(m -> !m.record.equals(record))
        .forEach(
            m -> {
              if (suspected) {
                m.membership.suspect(name);
              } else {
                m.membership.add(record);
              }
            });
  }

  /** Returns the number of nodes that are not frozen and have a version in force. */
  public long reached(long version) {
    return members.values().stream()
        .filter(m -> !m.frozen && m.configManager.current().version() >= version)
        .count();
  }

  static String rules(String version) {
    return "serve model=m version=" + version + " # Ana: test\n";
  }

  private void recordVersion(String name, Member member) {
    long current = member.configManager.current().version();
    Long previous = versions.put(name, current);
    if (previous != null && current < previous) {
      reversions.add(name + " went from " + previous + " to " + current);
    }
  }

  private static CompletableFuture<PeerFrame> answer(
      ConfigManager configManager, String from, PeerFrame frame) {
    if (frame.hasConfigAnnounce()) {
      configManager.onAnnounce(from, frame.getConfigAnnounce());
    } else if (frame.hasConfigRequest()) {
      PeerFrame.Builder reply = PeerFrame.newBuilder().setReply(true);
      configManager.onRequest(frame.getConfigRequest()).ifPresent(reply::setConfig);
      return CompletableFuture.completedFuture(reply.build());
    }
    return new CompletableFuture<>();
  }
}
