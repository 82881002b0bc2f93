package org.currantslip.core.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;
import org.jspecify.annotations.Nullable;

/**
 * Reconciles the stored join record of this node with its desired state.
 *
 * <p>A round writes conditionally on the version that this node knows, or reads the record first if
 * it knows none, so the next round resolves the outcome of a write whose reply was lost. A round
 * that gets no reply is abandoned after a timeout.
 */
final class JoinRecord {
  static final String PREFIX = "node/";
  private static final long RETRY_INTERVAL_MS = 1_000;

  private static final long ROUND_TIMEOUT_MS = 10_000;

  private final ObjectStore store;
  private final Clock clock;
  private NodeRecord desired;
  private @Nullable NodeRecord stored;
  private @Nullable NodeRecord supersededBy;
  private long round;
  private long roundDeadlineMs;
  private boolean stale;
  private boolean assumedAbsent;
  private @Nullable StoredVersion storedVersion;
  private boolean touchPending;
  private long nextRoundMs;
  private CompletableFuture<Void> desiredStored = new CompletableFuture<>();

  private JoinRecord(NodeRecord desired, ObjectStore store, Clock clock) {
    this.desired = desired;
    this.store = store;
    this.clock = clock;
    nextRoundMs = clock.nowMs();
  }

  /**
   * Version and number of touches of the record as this node last wrote it.
   *
   * @param touches value that the next write has to exceed
   */
  private record StoredVersion(long version, long touches) {}

  /** Lets the first round create the record without reading it, since the store has none. */
  void assumeAbsent() {
    assumedAbsent = true;
  }

  static JoinRecord create(NodeRecord desired, ObjectStore store, Clock clock) {
    return new JoinRecord(desired, store, clock);
  }

  static String objectName(String node) {
    return PREFIX + node;
  }

  static Optional<NodeRecord> parse(StoredObject object) {
    try {
      return Optional.of(NodeRecord.parseFrom(object.value()));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns whether a record of this incarnation is known to be stored. */
  boolean isJoined() {
    return stored != null;
  }

  /** Returns the stored record that supersedes this node, if there is one. */
  Optional<NodeRecord> supersededBy() {
    return Optional.ofNullable(supersededBy);
  }

  /** Sets the desired state; the future completes once it is stored. */
  CompletableFuture<Void> setDesiredState(NodeState state) {
    desired = desired.toBuilder().setState(state).build();
    desiredStored = new CompletableFuture<>();
    nextRoundMs = 0;
    return desiredStored;
  }

  /** Rereads the stored record in the next round, because a peer reports a change to it. */
  void recheck() {
    stale = true;
  }

  /** Rewrites the record in the next round, to show that this node still reaches the store. */
  void touch() {
    touchPending = true;
    stale = true;
  }

  void tick() {
    boolean upToDate = desired.equals(stored) && !stale;
    boolean inProgress = clock.nowMs() < roundDeadlineMs;
    if (inProgress || supersededBy != null || upToDate || clock.nowMs() < nextRoundMs) {
      return;
    }
    final boolean mustRead = stale;
    stale = false;
    long thisRound = ++round;
    nextRoundMs = clock.nowMs() + RETRY_INTERVAL_MS;
    roundDeadlineMs = clock.nowMs() + ROUND_TIMEOUT_MS;
    NodeRecord target = desired;
    write(target, mustRead)
        .whenComplete(
            (result, failure) -> {
              if (thisRound == round) {
                roundDeadlineMs = 0;
                stale |= failure != null;
                storedVersion = failure == null ? storedVersion : null;
              }
              if (failure == null) {
                onStored(target);
              }
            });
  }

  private void onStored(NodeRecord target) {
    if (supersededBy != null || isOutdated(target)) {
      return;
    }
    stored = target;
    if (desired.equals(target)) {
      desiredStored.complete(null);
    }
  }

  /** Returns whether a later state than that of {@code target} is known to be stored. */
  private boolean isOutdated(NodeRecord target) {
    return stored != null && stored.getStateValue() > target.getStateValue();
  }

  private CompletableFuture<?> write(NodeRecord target, boolean mustRead) {
    String name = objectName(target.getId().getName());
    StoredVersion known = storedVersion;
    if (!mustRead && known != null) {
      return update(name, target, known.version(), known.touches() + 1);
    }
    if (!mustRead && assumedAbsent) {
      assumedAbsent = false;
      return createStored(name, target);
    }
    return store.get(name).thenCompose(existing -> writeOver(existing, target));
  }

  private CompletableFuture<Void> createStored(String name, NodeRecord target) {
    return store
        .create(name, target.toByteString())
        .thenAccept(version -> storedVersion = new StoredVersion(version, target.getTouches()));
  }

  private CompletableFuture<Void> update(
      String name, NodeRecord target, long version, long touches) {
    NodeRecord updated = target.toBuilder().setTouches(touches).build();
    return store
        .update(name, updated.toByteString(), version)
        .thenAccept(newVersion -> storedVersion = new StoredVersion(newVersion, touches));
  }

  private CompletableFuture<?> writeOver(Optional<StoredObject> existing, NodeRecord target) {
    String name = objectName(target.getId().getName());
    if (existing.isEmpty()) {
      return createStored(name, target);
    }
    NodeRecord existingRecord = parse(existing.get()).orElse(NodeRecord.getDefaultInstance());
    if (supersedes(existingRecord, target)) {
      supersededBy = existingRecord;
      return CompletableFuture.completedFuture(null);
    }
    if (existingRecord.equals(target) && !touchPending) {
      return CompletableFuture.completedFuture(null);
    }
    touchPending = false;
    // The store assigns no new version to an unchanged value, which would not show a sign of life.
    return update(name, target, existing.get().version(), existingRecord.getTouches() + 1);
  }

  private static boolean supersedes(NodeRecord existingRecord, NodeRecord target) {
    long existingIncarnation = existingRecord.getId().getIncarnation();
    long targetIncarnation = target.getId().getIncarnation();
    return existingIncarnation > targetIncarnation
        || (existingIncarnation == targetIncarnation
            && existingRecord.getStateValue() > target.getStateValue());
  }
}
