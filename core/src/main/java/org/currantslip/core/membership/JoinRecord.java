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
 * Brings the stored join record of this node up to its wanted state.
 *
 * <p>Each round reads the record and then writes it under the version that was read, so a lost
 * answer is settled by the next round. A round without an answer is given up after a while.
 */
final class JoinRecord {
  static final String PREFIX = "node/";
  private static final long RETRY_MS = 1_000;
  private static final long ROUND_MS = 10_000;

  private final ObjectStore store;
  private final Clock clock;
  private NodeRecord wanted;
  private @Nullable NodeRecord stored;
  private @Nullable NodeRecord supersededBy;
  private long round;
  private long roundEndMs;
  private boolean stale;
  private boolean touched;
  private long nextMs;
  private CompletableFuture<Void> settled = new CompletableFuture<>();

  private JoinRecord(NodeRecord wanted, ObjectStore store, Clock clock) {
    this.wanted = wanted;
    this.store = store;
    this.clock = clock;
  }

  static JoinRecord create(NodeRecord wanted, ObjectStore store, Clock clock) {
    return new JoinRecord(wanted, store, clock);
  }

  static String nameOf(String node) {
    return PREFIX + node;
  }

  static Optional<NodeRecord> parse(StoredObject object) {
    try {
      return Optional.of(NodeRecord.parseFrom(object.value()));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  /** Returns whether the store has a record of this incarnation. */
  boolean isJoined() {
    return stored != null;
  }

  /** Returns the record that took this node's place, if there is one. */
  Optional<NodeRecord> supersededBy() {
    return Optional.ofNullable(supersededBy);
  }

  /** Changes the wanted state; the future completes when it is stored. */
  CompletableFuture<Void> want(NodeState state) {
    wanted = wanted.toBuilder().setState(state).build();
    settled = new CompletableFuture<>();
    nextMs = 0;
    return settled;
  }

  /** Looks at the stored record again, as a peer says that it changed. */
  void recheck() {
    stale = true;
  }

  /** Rewrites the record, to show that this node still reaches the store. */
  void touch() {
    touched = true;
    stale = true;
  }

  void tick() {
    boolean upToDate = wanted.equals(stored) && !stale;
    boolean underWay = clock.nowMs() < roundEndMs;
    if (underWay || supersededBy != null || upToDate || clock.nowMs() < nextMs) {
      return;
    }
    stale = false;
    long mine = ++round;
    nextMs = clock.nowMs() + RETRY_MS;
    roundEndMs = clock.nowMs() + ROUND_MS;
    NodeRecord target = wanted;
    store
        .get(nameOf(target.getId().getName()))
        .thenCompose(found -> write(found, target))
        .whenComplete(
            (done, failure) -> {
              if (mine == round) {
                roundEndMs = 0;
                stale |= failure != null;
              }
              if (failure == null) {
                onStored(target);
              }
            });
  }

  private void onStored(NodeRecord target) {
    if (supersededBy != null || isBehind(target)) {
      return;
    }
    stored = target;
    if (wanted.equals(target)) {
      settled.complete(null);
    }
  }

  /** Returns whether a later state than this is known to be stored. */
  private boolean isBehind(NodeRecord target) {
    return stored != null && stored.getStateValue() > target.getStateValue();
  }

  private CompletableFuture<?> write(Optional<StoredObject> found, NodeRecord target) {
    String name = nameOf(target.getId().getName());
    if (found.isEmpty()) {
      return store.create(name, target.toByteString());
    }
    NodeRecord old = parse(found.get()).orElse(NodeRecord.getDefaultInstance());
    if (isAfter(old, target)) {
      supersededBy = old;
      return CompletableFuture.completedFuture(null);
    }
    if (old.equals(target) && !touched) {
      return CompletableFuture.completedFuture(null);
    }
    touched = false;
    // A write that changes nothing gets no new version, and would not show that this node lives.
    NodeRecord touch = target.toBuilder().setTouches(old.getTouches() + 1).build();
    return store.update(name, touch.toByteString(), found.get().version());
  }

  private static boolean isAfter(NodeRecord old, NodeRecord target) {
    long theirs = old.getId().getIncarnation();
    long ours = target.getId().getIncarnation();
    return theirs > ours || (theirs == ours && old.getStateValue() > target.getStateValue());
  }
}
