package org.currantslip.core.rollout;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.RolloutLease;
import org.jspecify.annotations.Nullable;

/**
 * Acquires and renews the lease of the rollout controller.
 *
 * <p>Clocks of different nodes are never compared: a candidate takes over once it has seen the
 * lease object unchanged for the lease length on its own clock. The holder counts its lease from
 * the moment before it sends the renewal.
 */
final class RolloutLeaseManager {
  static final String OBJECT_NAME = "rollout/lease";
  static final long LEASE_LENGTH_MS = 6_000;

  /** Time after which a store call without a response is abandoned. */
  static final long CALL_TIMEOUT_MS = 5_000;

  private static final long SAFETY_MARGIN_MS = 1_000;

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private long lastSeenVersion;
  private long unchangedSinceMs;
  private long validUntilMs;
  private long fencingNumber;
  private long callDeadlineMs;

  private RolloutLeaseManager(NodeId self, ObjectStore store, Clock clock) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    lastSeenVersion = -1;
  }

  static RolloutLeaseManager create(NodeId self, ObjectStore store, Clock clock) {
    return new RolloutLeaseManager(self, store, clock);
  }

  /** Returns whether this node currently holds the lease. */
  boolean isHeld() {
    return clock.nowMs() < validUntilMs;
  }

  /** Returns the fencing number of the lease that this node holds or last held. */
  long fencingNumber() {
    return fencingNumber;
  }

  /** Reads the lease, then renews it or takes it over if due. */
  void renewOrAcquire() {
    if (clock.nowMs() < callDeadlineMs) {
      return;
    }
    callDeadlineMs = clock.nowMs() + CALL_TIMEOUT_MS;
    CompletableFuture<Optional<StoredObject>> unused =
        store.get(OBJECT_NAME).whenComplete((found, failure) -> onRead(found));
  }

  private void onRead(@Nullable Optional<StoredObject> found) {
    if (found == null) {
      callDeadlineMs = 0;
    } else if (found.isEmpty()) {
      write(0, 1);
    } else {
      renewOrTakeOver(found.get());
    }
  }

  private void renewOrTakeOver(StoredObject object) {
    if (object.version() != lastSeenVersion) {
      lastSeenVersion = object.version();
      unchangedSinceMs = clock.nowMs();
    }
    RolloutLease lease = parse(object);
    boolean isOwnLease = lease.getHolder().equals(self);
    if (isOwnLease && isHeld()) {
      write(object.version(), lease.getFencingNumber());
    } else if (isOwnLease || clock.nowMs() - unchangedSinceMs >= LEASE_LENGTH_MS) {
      write(object.version(), lease.getFencingNumber() + 1);
    } else {
      callDeadlineMs = 0;
    }
  }

  private void write(long expectedVersion, long newFencingNumber) {
    long sentMs = clock.nowMs();
    RolloutLease lease =
        RolloutLease.newBuilder()
            .setHolder(self)
            .setFencingNumber(newFencingNumber)
            .setGrantedMs(sentMs)
            .setLengthMs(LEASE_LENGTH_MS)
            .build();
    CompletableFuture<Long> written =
        expectedVersion == 0
            ? store.create(OBJECT_NAME, lease.toByteString())
            : store.update(OBJECT_NAME, lease.toByteString(), expectedVersion);
    CompletableFuture<Long> unused =
        written.whenComplete((version, failure) -> onWritten(version, sentMs, newFencingNumber));
  }

  /** After a lost response, a later read finds the lease and renews it with a new number. */
  private void onWritten(@Nullable Long version, long sentMs, long newFencingNumber) {
    callDeadlineMs = 0;
    if (version != null) {
      lastSeenVersion = version;
      unchangedSinceMs = clock.nowMs();
      fencingNumber = newFencingNumber;
      validUntilMs = sentMs + LEASE_LENGTH_MS - SAFETY_MARGIN_MS;
    }
  }

  private static RolloutLease parse(StoredObject object) {
    try {
      return RolloutLease.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("malformed object " + object.name(), e);
    }
  }
}
