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
 * Gossips the newest configuration version among peers.
 *
 * <p>A new version is announced to all peers of the ring immediately. Probes, sent to the peers in
 * turn, make up for lost announcements, and their replies carry the age of the last confirmation.
 * Nodes pull the contents they lack, so that each node receives them once.
 */
final class VersionGossip {
  private static final long PROBE_EXPIRY_MS = 5_000;
  private static final int MAX_PENDING_PROBES = 4_096;
  private static final long DOMAIN_PROBE_INTERVAL_MS = 100;

  private final Clock clock;
  private final PeerNetwork network;
  private final PeerRing ring;
  private final ConfigHolder holder;
  private final Freshness freshness;
  private final ConfigPull pull;
  private final ConfigOptions options;
  private final String self;
  private final Map<Long, Probe> pendingProbes = new LinkedHashMap<>();
  private final Map<String, Long> domainVersions = new HashMap<>();
  private long nextProbeId = 1;
  private int nextFinger;
  private long nextProbeMs;
  private long nextDomainProbeMs;

  private VersionGossip(
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

  static VersionGossip create(
      String self,
      Clock clock,
      PeerNetwork network,
      PeerRing ring,
      ConfigHolder holder,
      Freshness freshness,
      ConfigPull pull,
      ConfigOptions options) {
    return new VersionGossip(self, clock, network, ring, holder, freshness, pull, options);
  }

  /** Announces the version in force to all peers of the ring. */
  void announce() {
    ring.fingers().forEach(n -> send(n, newAnnouncement().build()));
  }

  void tick() {
    long nowMs = clock.nowMs();
    if (nowMs < nextProbeMs) {
      return;
    }
    nextProbeMs = nowMs + options.probeIntervalMs();
    ImmutableList<String> fingers = ring.fingers();
    if (!fingers.isEmpty()) {
      nextFinger = (nextFinger + 1) % fingers.size();
      probe(fingers.get(nextFinger), false);
    }
  }

  /** Probes a node for its version and, if requested, for the versions in its failure domain. */
  void probe(String node, boolean includeDomain) {
    long probeId = nextProbeId++;
    long nowMs = clock.nowMs();
    pendingProbes.values().removeIf(p -> p.sentMs() < nowMs - PROBE_EXPIRY_MS);
    if (pendingProbes.size() < MAX_PENDING_PROBES) {
      pendingProbes.put(probeId, new Probe(node, nowMs));
      send(node, newAnnouncement().setProbe(probeId).setTally(includeDomain).build());
    }
  }

  /** Handles an announcement; returns the nodes it shows to have reached the version in force. */
  ImmutableList<String> onAnnounce(String from, ConfigAnnounce announce) {
    recordDomainVersion(from, announce.getVersion());
    if (announce.getVersion() > holder.version()) {
      pull.addSource(from, announce.getVersion());
    }
    if (announce.getEcho() != 0) {
      onEcho(from, announce);
    } else if (announce.getProbe() != 0) {
      answerProbe(from, announce);
    } else if (announce.getVersion() < holder.version()) {
      send(from, newAnnouncement().build());
    }
    if (announce.getVersion() < holder.version()) {
      return ImmutableList.of();
    }
    return ImmutableList.<String>builder().add(from).addAll(announce.getInForceOnList()).build();
  }

  /** Returns the nodes of this failure domain known to have reached a version; probes the rest. */
  ImmutableList<String> reachedInDomain(long version) {
    Set<String> names = ring.ownDomain();
    ImmutableList<String> reached =
        names.stream().filter(n -> hasReached(n, version)).collect(ImmutableList.toImmutableList());
    if (reached.size() < names.size() && clock.nowMs() >= nextDomainProbeMs) {
      nextDomainProbeMs = clock.nowMs() + DOMAIN_PROBE_INTERVAL_MS;
      names.stream().filter(n -> !reached.contains(n)).forEach(n -> probe(n, false));
    }
    return reached;
  }

  private boolean hasReached(String node, long version) {
    long knownVersion =
        node.equals(self) ? holder.version() : domainVersions.getOrDefault(node, -1L);
    return knownVersion >= version;
  }

  private void recordDomainVersion(String node, long version) {
    Set<String> names = ring.ownDomain();
    if (names.contains(node)) {
      domainVersions.put(node, version);
    }
    if (domainVersions.size() > names.size()) {
      domainVersions.keySet().retainAll(names);
    }
  }

  private void onEcho(String from, ConfigAnnounce echo) {
    Probe probe = pendingProbes.get(echo.getEcho());
    if (probe == null || !probe.node().equals(from)) {
      return;
    }
    pendingProbes.remove(echo.getEcho());
    freshness.onReply(from, probe.sentMs(), echo.getVersion(), echo.getKnownNodes());
    if (echo.getConfirmed() && echo.getVersion() <= holder.version()) {
      freshness.confirm(probe.sentMs() - echo.getAgeMs());
    }
  }

  private void answerProbe(String from, ConfigAnnounce probe) {
    ConfigAnnounce.Builder echo = newAnnouncement().setEcho(probe.getProbe());
    if (probe.getTally()) {
      echo.addAllInForceOn(reachedInDomain(probe.getVersion()));
    }
    send(from, echo.build());
  }

  private ConfigAnnounce.Builder newAnnouncement() {
    return ConfigAnnounce.newBuilder()
        .setVersion(holder.version())
        .setConfirmed(freshness.hasConfirmation())
        .setAgeMs(freshness.hasConfirmation() ? freshness.ageMs() : 0)
        .setKnownNodes(ring.knownCount());
  }

  private void send(String node, ConfigAnnounce message) {
    network.send(node, PeerFrame.newBuilder().setConfigAnnounce(message).build());
  }
}
