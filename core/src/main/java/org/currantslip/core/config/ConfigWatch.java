package org.currantslip.core.config;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.AcceptedConfig;
import org.currantslip.schema.NodeId;

/**
 * Learns of new configurations from the store.
 *
 * <p>Only the first few nodes of each failure domain keep a watch open; the others read the store
 * once at their start, and again when their peers have not confirmed the newest version for long.
 */
final class ConfigWatch {
  private static final long RETRY_MS = 500;

  private final NodeId self;
  private final ObjectStore store;
  private final PeerRing ring;
  private final Clock clock;
  private final ConfigOptions options;
  private final DueTasks tasks;
  private final ConfigHolder holder;
  private final Freshness freshness;
  private boolean calling;
  private long nextCallMs;
  private long storeVersion;
  private boolean readOnce;

  private ConfigWatch(
      NodeId self,
      ObjectStore store,
      PeerRing ring,
      Clock clock,
      ConfigOptions options,
      DueTasks tasks,
      ConfigHolder holder,
      Freshness freshness) {
    this.self = self;
    this.store = store;
    this.ring = ring;
    this.clock = clock;
    this.options = options;
    this.tasks = tasks;
    this.holder = holder;
    this.freshness = freshness;
  }

  static ConfigWatch create(
      NodeId self,
      ObjectStore store,
      PeerRing ring,
      Clock clock,
      ConfigOptions options,
      DueTasks tasks,
      ConfigHolder holder,
      Freshness freshness) {
    return new ConfigWatch(self, store, ring, clock, options, tasks, holder, freshness);
  }

  void tick() {
    if (calling || clock.nowMs() < nextCallMs) {
      return;
    }
    if (!readOnce) {
      read();
    } else if (isWatcher()) {
      watch();
    } else if (freshness.ageMs() > options.freshMs() / 2) {
      read();
    }
  }

  private boolean isWatcher() {
    return ring.stayingInDomain().stream()
        .limit(options.watchersPerDomain())
        .anyMatch(n -> n.equals(self.getName()));
  }

  private void read() {
    long sentMs = clock.nowMs();
    start(store.get(ConfigNames.ACCEPTED), options.storeTimeoutMs())
        .whenComplete(
            (found, failure) -> {
              calling = false;
              if (failure != null || found == null) {
                nextCallMs = clock.nowMs() + RETRY_MS;
                return;
              }
              readOnce = true;
              nextCallMs = isWatcher() ? 0 : clock.nowMs() + options.freshMs() / 6;
              take(found, sentMs);
            });
  }

  private void watch() {
    long sentMs = clock.nowMs();
    long waitMs = options.watchWaitMs();
    start(
            store.watch(ConfigNames.ACCEPTED, storeVersion, waitMs),
            waitMs + options.storeTimeoutMs())
        .whenComplete(
            (changed, failure) -> {
              calling = false;
              if (failure != null || changed == null) {
                nextCallMs = clock.nowMs() + RETRY_MS;
              } else if (changed.isPresent()) {
                take(changed, sentMs);
              } else if (clock.nowMs() - sentMs >= waitMs) {
                freshness.confirmed(sentMs + waitMs);
              } else {
                nextCallMs = clock.nowMs() + RETRY_MS;
              }
            });
  }

  private <T> CompletableFuture<T> start(CompletableFuture<T> call, long timeoutMs) {
    calling = true;
    return tasks.within(timeoutMs, call);
  }

  private void take(Optional<StoredObject> found, long sentMs) {
    if (found.isEmpty()) {
      freshness.confirmed(sentMs);
      return;
    }
    try {
      if (holder.offer(AcceptedConfig.parseFrom(found.get().value()))) {
        storeVersion = Math.max(storeVersion, found.get().version());
        freshness.confirmed(sentMs);
      } else {
        nextCallMs = clock.nowMs() + RETRY_MS;
      }
    } catch (InvalidProtocolBufferException e) {
      nextCallMs = clock.nowMs() + RETRY_MS;
    }
  }
}
