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
 * Reads new configurations from the store.
 *
 * <p>Only the first few nodes of each failure domain keep a watch open. The others read the store
 * once at startup, and again when the newest version has not been confirmed for half of the
 * freshness bound.
 */
final class ConfigWatch {
  private static final long RETRY_MS = 500;

  private final NodeId self;
  private final ObjectStore store;
  private final PeerRing ring;
  private final Clock clock;
  private final ConfigOptions options;
  private final TaskScheduler scheduler;
  private final ConfigHolder holder;
  private final Freshness freshness;
  private boolean callInFlight;
  private long nextCallMs;
  private long storeVersion;
  private boolean initialReadDone;

  private ConfigWatch(
      NodeId self,
      ObjectStore store,
      PeerRing ring,
      Clock clock,
      ConfigOptions options,
      TaskScheduler scheduler,
      ConfigHolder holder,
      Freshness freshness) {
    this.self = self;
    this.store = store;
    this.ring = ring;
    this.clock = clock;
    this.options = options;
    this.scheduler = scheduler;
    this.holder = holder;
    this.freshness = freshness;
  }

  static ConfigWatch create(
      NodeId self,
      ObjectStore store,
      PeerRing ring,
      Clock clock,
      ConfigOptions options,
      TaskScheduler scheduler,
      ConfigHolder holder,
      Freshness freshness) {
    return new ConfigWatch(self, store, ring, clock, options, scheduler, holder, freshness);
  }

  void tick() {
    if (callInFlight || clock.nowMs() < nextCallMs) {
      return;
    }
    if (!initialReadDone) {
      read();
    } else if (isWatcher()) {
      watch();
    } else if (freshness.ageMs() > options.freshMs() / 2) {
      read();
    }
  }

  private boolean isWatcher() {
    return ring.nonLeavingInDomain().stream()
        .limit(options.watchersPerDomain())
        .anyMatch(n -> n.equals(self.getName()));
  }

  private void read() {
    long sentMs = clock.nowMs();
    startCall(store.get(ConfigNames.ACCEPTED), options.storeTimeoutMs())
        .whenComplete(
            (stored, failure) -> {
              callInFlight = false;
              if (failure != null || stored == null) {
                nextCallMs = clock.nowMs() + RETRY_MS;
                return;
              }
              initialReadDone = true;
              nextCallMs = isWatcher() ? 0 : clock.nowMs() + options.freshMs() / 6;
              adopt(stored, sentMs);
            });
  }

  private void watch() {
    long sentMs = clock.nowMs();
    long waitMs = options.watchWaitMs();
    startCall(
            store.watch(ConfigNames.ACCEPTED, storeVersion, waitMs),
            waitMs + options.storeTimeoutMs())
        .whenComplete(
            (changed, failure) -> {
              callInFlight = false;
              if (failure != null || changed == null) {
                nextCallMs = clock.nowMs() + RETRY_MS;
              } else if (changed.isPresent()) {
                adopt(changed, sentMs);
              } else if (clock.nowMs() - sentMs >= waitMs) {
                freshness.confirm(sentMs + waitMs);
              } else {
                nextCallMs = clock.nowMs() + RETRY_MS;
              }
            });
  }

  private <T> CompletableFuture<T> startCall(CompletableFuture<T> call, long timeoutMs) {
    callInFlight = true;
    return scheduler.withTimeout(timeoutMs, call);
  }

  private void adopt(Optional<StoredObject> stored, long sentMs) {
    if (stored.isEmpty()) {
      freshness.confirm(sentMs);
      return;
    }
    try {
      if (holder.offer(AcceptedConfig.parseFrom(stored.get().value()))) {
        storeVersion = Math.max(storeVersion, stored.get().version());
        freshness.confirm(sentMs);
      } else {
        nextCallMs = clock.nowMs() + RETRY_MS;
      }
    } catch (InvalidProtocolBufferException e) {
      nextCallMs = clock.nowMs() + RETRY_MS;
    }
  }
}
