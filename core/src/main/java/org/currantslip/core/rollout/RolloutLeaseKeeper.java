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
 * Takes and renews the lease of the roll-out controller.
 *
 * <p>No clocks are compared: a candidate takes over when it has seen the same lease object, by its
 * own clock, for the lease's length. The holder counts its lease from before it sent the renewal.
 */
final class RolloutLeaseKeeper {
  static final String NAME = "rollout/lease";
  static final long LENGTH_MS = 6_000;

  /** A call without an answer for so long is given up. */
  static final long CALL_MS = 5_000;

  private static final long MARGIN_MS = 1_000;

  private final NodeId self;
  private final ObjectStore store;
  private final Clock clock;
  private long seenVersion;
  private long seenSinceMs;
  private long validUntilMs;
  private long fencingNumber;
  private long busyUntilMs;

  private RolloutLeaseKeeper(NodeId self, ObjectStore store, Clock clock) {
    this.self = self;
    this.store = store;
    this.clock = clock;
    seenVersion = -1;
  }

  static RolloutLeaseKeeper create(NodeId self, ObjectStore store, Clock clock) {
    return new RolloutLeaseKeeper(self, store, clock);
  }

  /** Returns whether this node holds the lease now. */
  boolean isHeld() {
    return clock.nowMs() < validUntilMs;
  }

  /** Returns the fencing number of the lease that this node holds or last held. */
  long fencingNumber() {
    return fencingNumber;
  }

  /** Reads the lease, and renews it or takes it over when that is due. */
  void tryHold() {
    if (clock.nowMs() < busyUntilMs) {
      return;
    }
    busyUntilMs = clock.nowMs() + CALL_MS;
    CompletableFuture<Optional<StoredObject>> unused =
        store.get(NAME).whenComplete((found, failure) -> onRead(found));
  }

  private void onRead(@Nullable Optional<StoredObject> found) {
    if (found == null) {
      busyUntilMs = 0;
    } else if (found.isEmpty()) {
      write(0, 1);
    } else {
      judge(found.get());
    }
  }

  private void judge(StoredObject object) {
    if (object.version() != seenVersion) {
      seenVersion = object.version();
      seenSinceMs = clock.nowMs();
    }
    RolloutLease lease = parse(object);
    boolean own = lease.getHolder().equals(self);
    if (own && isHeld()) {
      write(object.version(), lease.getFencingNumber());
    } else if (own || clock.nowMs() - seenSinceMs >= LENGTH_MS) {
      write(object.version(), lease.getFencingNumber() + 1);
    } else {
      busyUntilMs = 0;
    }
  }

  private void write(long expectedVersion, long number) {
    long sentMs = clock.nowMs();
    RolloutLease lease =
        RolloutLease.newBuilder()
            .setHolder(self)
            .setFencingNumber(number)
            .setGrantedMs(sentMs)
            .setLengthMs(LENGTH_MS)
            .build();
    CompletableFuture<Long> written =
        expectedVersion == 0
            ? store.create(NAME, lease.toByteString())
            : store.update(NAME, lease.toByteString(), expectedVersion);
    CompletableFuture<Long> unused =
        written.whenComplete((version, failure) -> onWritten(version, sentMs, number));
  }

  /** A write whose answer was lost is found again, with a new number, by a later read. */
  private void onWritten(@Nullable Long version, long sentMs, long number) {
    busyUntilMs = 0;
    if (version != null) {
      seenVersion = version;
      seenSinceMs = clock.nowMs();
      fencingNumber = number;
      validUntilMs = sentMs + LENGTH_MS - MARGIN_MS;
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
