package org.currantslip.core.config;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.ConfigAnnounce;
import org.currantslip.schema.PeerFrame;

/**
 * Passes the newest version on among peers.
 *
 * <p>A new version is announced to all peers of the ring at once; probes, sent to one peer after
 * another, repair lost announcements and carry the age of the last confirmation. Contents are
 * pulled by those that lack them, so that each node receives them once.
 */
final class PeerSpread {
  private static final long PROBE_MEMORY_MS = 5_000;
  private static final int MAX_PROBES = 4_096;
  private static final long DOMAIN_PROBE_INTERVAL_MS = 100;

  private final Clock clock;
  private final PeerNetwork network;
  private final PeerRing ring;
  private final ConfigHolder holder;
  private final Freshness freshness;
  private final ConfigPull pull;
  private final ConfigOptions options;
  private final String self;
  private final Map<Long, Probe> probes = new LinkedHashMap<>();
  private final Map<String, Long> domainVersions = new HashMap<>();
  private long nextProbe = 1;
  private int nextFinger;
  private long nextProbeMs;
  private long nextDomainProbeMs;

  private PeerSpread(
      String self,
      Clock clock,
      PeerNetwork network,
      PeerRing ring,
      ConfigHolder holder,
      Freshness freshness,
      ConfigPull pull,
      ConfigOptions options) {
    this.self = self;
    this.clock = clock;
    this.network = network;
    this.ring = ring;
    this.holder = holder;
    this.freshness = freshness;
    this.pull = pull;
    this.options = options;
    this.nextFinger = (int) Math.floorMod(options.seed(), 1 << 16);
  }

  private record Probe(String node, long sentMs) {}

  static PeerSpread create(
      String self,
      Clock clock,
      PeerNetwork network,
      PeerRing ring,
      ConfigHolder holder,
      Freshness freshness,
      ConfigPull pull,
      ConfigOptions options) {
    return new PeerSpread(self, clock, network, ring, holder, freshness, pull, options);
  }

  /** Tells all peers of the ring about the version in force. */
  void announce() {
    ring.fingers().forEach(n -> send(n, message().build()));
  }

  void tick() {
    long now = clock.nowMs();
    if (now < nextProbeMs) {
      return;
    }
    nextProbeMs = now + options.probeIntervalMs();
    ImmutableList<String> fingers = ring.fingers();
    if (!fingers.isEmpty()) {
      nextFinger = (nextFinger + 1) % fingers.size();
      probe(fingers.get(nextFinger), false);
    }
  }

  /** Asks a node for its version; with {@code tally} also for those of its failure domain. */
  void probe(String node, boolean tally) {
    long number = nextProbe++;
    long now = clock.nowMs();
    probes.values().removeIf(p -> p.sentMs() < now - PROBE_MEMORY_MS);
    if (probes.size() < MAX_PROBES) {
      probes.put(number, new Probe(node, now));
      send(node, message().setProbe(number).setTally(tally).build());
    }
  }

  /** Takes an announcement; returns the nodes that it shows to have the version in force. */
  ImmutableList<String> onAnnounce(String from, ConfigAnnounce announce) {
    noteDomainVersion(from, announce.getVersion());
    if (announce.getVersion() > holder.version()) {
      pull.offer(from, announce.getVersion());
    }
    if (announce.getEcho() != 0) {
      onEcho(from, announce);
    } else if (announce.getProbe() != 0) {
      answer(from, announce);
    } else if (announce.getVersion() < holder.version()) {
      send(from, message().build());
    }
    if (announce.getVersion() < holder.version()) {
      return ImmutableList.of();
    }
    return ImmutableList.<String>builder().add(from).addAll(announce.getInForceOnList()).build();
  }

  /** Returns the nodes of this failure domain known to have reached a version; probes the rest. */
  ImmutableList<String> domainTally(long version) {
    Set<String> names = ring.ownDomain();
    ImmutableList<String> reached =
        names.stream().filter(n -> reached(n, version)).collect(ImmutableList.toImmutableList());
    if (reached.size() < names.size() && clock.nowMs() >= nextDomainProbeMs) {
      nextDomainProbeMs = clock.nowMs() + DOMAIN_PROBE_INTERVAL_MS;
      names.stream().filter(n -> !reached.contains(n)).forEach(n -> probe(n, false));
    }
    return reached;
  }

  private boolean reached(String node, long version) {
    long known = node.equals(self) ? holder.version() : domainVersions.getOrDefault(node, -1L);
    return known >= version;
  }

  private void noteDomainVersion(String node, long version) {
    Set<String> names = ring.ownDomain();
    if (names.contains(node)) {
      domainVersions.put(node, version);
    }
    if (domainVersions.size() > names.size()) {
      domainVersions.keySet().retainAll(names);
    }
  }

  private void onEcho(String from, ConfigAnnounce echo) {
    Probe probe = probes.get(echo.getEcho());
    if (probe == null || !probe.node().equals(from)) {
      return;
    }
    probes.remove(echo.getEcho());
    freshness.heard(from, probe.sentMs(), echo.getVersion(), echo.getKnownNodes());
    if (echo.getConfirmed() && echo.getVersion() <= holder.version()) {
      freshness.confirmed(probe.sentMs() - echo.getAgeMs());
    }
  }

  private void answer(String from, ConfigAnnounce probe) {
    ConfigAnnounce.Builder echo = message().setEcho(probe.getProbe());
    if (probe.getTally()) {
      echo.addAllInForceOn(domainTally(probe.getVersion()));
    }
    send(from, echo.build());
  }

  private ConfigAnnounce.Builder message() {
    return ConfigAnnounce.newBuilder()
        .setVersion(holder.version())
        .setConfirmed(freshness.everConfirmed())
        .setAgeMs(freshness.everConfirmed() ? freshness.ageMs() : 0)
        .setKnownNodes(ring.knownCount());
  }

  private void send(String node, ConfigAnnounce message) {
    network.send(node, PeerFrame.newBuilder().setConfigAnnounce(message).build());
  }
}
