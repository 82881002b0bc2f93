package org.currantslip.core.config;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.schema.ConfigRequest;
import org.currantslip.schema.PeerFrame;

/** Pulls newer configurations from the peers that announced them. */
final class ConfigPull {
  private static final int MAX_SOURCES = 8;
  private static final int MAX_CONCURRENT_PULLS = 2;

  private final Clock clock;
  private final PeerNetwork network;
  private final ConfigHolder holder;
  private final ConfigOptions options;
  private final Map<String, Long> sources = new LinkedHashMap<>();
  private final Set<String> pendingPeers = new HashSet<>();
  private long lastPullMs;

  private ConfigPull(Clock clock, PeerNetwork network, ConfigHolder holder, ConfigOptions options) {
    this.clock = clock;
    this.network = network;
    this.holder = holder;
    this.options = options;
  }

  static ConfigPull create(
      Clock clock, PeerNetwork network, ConfigHolder holder, ConfigOptions options) {
    return new ConfigPull(clock, network, holder, options);
  }

  /** Adds a peer that announced a newer version as a source. */
  void addSource(String node, long version) {
    if (sources.size() < MAX_SOURCES || sources.containsKey(node)) {
      sources.merge(node, version, Math::max);
    }
    tick();
  }

  void tick() {
    sources.values().removeIf(v -> v <= holder.version());
    boolean hedge =
        pendingPeers.size() < MAX_CONCURRENT_PULLS
            && clock.nowMs() >= lastPullMs + options.pullHedgeMs();
    if (pendingPeers.isEmpty() || hedge) {
      nextSource().ifPresent(this::pullFrom);
    }
  }

  private Optional<String> nextSource() {
    return sources.keySet().stream().filter(n -> !pendingPeers.contains(n)).findFirst();
  }

  private void pullFrom(String node) {
    sources.remove(node);
    pendingPeers.add(node);
    lastPullMs = clock.nowMs();
    PeerFrame request =
        PeerFrame.newBuilder()
            .setConfigRequest(ConfigRequest.newBuilder().setHaveVersion(holder.version()))
            .build();
    network
        .request(node, request, options.pullTimeoutMs())
        .whenComplete(
            (reply, failure) -> {
              pendingPeers.remove(node);
              if (failure == null && reply != null && reply.hasConfig()) {
                holder.offer(reply.getConfig());
              }
              tick();
            });
  }
}
