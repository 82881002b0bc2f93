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

/** Fetches newer configurations from peers that announced them. */
final class ConfigPull {
  private static final int MAX_SOURCES = 8;
  private static final int MAX_CALLS = 2;

  private final Clock clock;
  private final PeerNetwork network;
  private final ConfigHolder holder;
  private final ConfigOptions options;
  private final Map<String, Long> sources = new LinkedHashMap<>();
  private final Set<String> asked = new HashSet<>();
  private long lastCallMs;

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

  /** Notes that a peer has a newer version. */
  void offer(String node, long version) {
    if (sources.size() < MAX_SOURCES || sources.containsKey(node)) {
      sources.merge(node, version, Math::max);
    }
    tick();
  }

  void tick() {
    sources.values().removeIf(v -> v <= holder.version());
    boolean hedge = asked.size() < MAX_CALLS && clock.nowMs() >= lastCallMs + options.pullHedgeMs();
    if (asked.isEmpty() || hedge) {
      next().ifPresent(this::pullFrom);
    }
  }

  private Optional<String> next() {
    return sources.keySet().stream().filter(n -> !asked.contains(n)).findFirst();
  }

  private void pullFrom(String node) {
    sources.remove(node);
    asked.add(node);
    lastCallMs = clock.nowMs();
    PeerFrame request =
        PeerFrame.newBuilder()
            .setConfigRequest(ConfigRequest.newBuilder().setHaveVersion(holder.version()))
            .build();
    network
        .ask(node, request, options.pullTimeoutMs())
        .whenComplete(
            (reply, failure) -> {
              asked.remove(node);
              if (failure == null && reply != null && reply.hasConfig()) {
                holder.offer(reply.getConfig());
              }
              tick();
            });
  }
}
