package org.currantslip.core.rollout;

import com.google.common.hash.Hashing;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.currantslip.core.common.Clock;
import org.currantslip.core.config.ConfigSource;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.ObjectStore;
import org.currantslip.core.port.StoredObject;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.RolloutState;
import org.jspecify.annotations.Nullable;

/**
 * Moves roll-outs through their stages, on the one node that holds the lease.
 *
 * <p>Each state is one object, written by conditional update against the version that the decision
 * was made on. A holder that was paused past its lease therefore cannot undo its successor's step;
 * the lease only keeps two holders from working against each other.
 */
public final class RolloutController {
  private static final int CANDIDATES = 3;
  private static final long LEASE_EVERY_MS = 2_000;
  private static final long STEP_EVERY_MS = 500;
  private static final int MAX_STATES = 1_000;
  private static final String PREFIX = "rollout/";

  private record Stored(long version, RolloutState state) {}

  private final NodeId self;
  private final ObjectStore store;
  private final Membership membership;
  private final ConfigSource config;
  private final EvidenceVersionPolicy versions;
  private final Clock clock;
  private final RolloutLeaseKeeper lease;
  private final Map<VersionKey, Stored> states = new HashMap<>();
  private long loadedUnder;
  private long nextLeaseMs;
  private long nextStepMs;
  private long busyUntilMs;

  private RolloutController(
      NodeId self,
      ObjectStore store,
      Membership membership,
      ConfigSource config,
      EvidenceVersionPolicy versions,
      Clock clock) {
    this.self = self;
    this.store = store;
    this.membership = membership;
    this.config = config;
    this.versions = versions;
    this.clock = clock;
    lease = RolloutLeaseKeeper.create(self, store, clock);
  }

  /** Returns a controller that does not hold the lease. */
  public static RolloutController create(
      NodeId self,
      ObjectStore store,
      Membership membership,
      ConfigSource config,
      EvidenceVersionPolicy versions,
      Clock clock) {
    return new RolloutController(self, store, membership, config, versions, clock);
  }

  /** Returns whether this node moves roll-outs now. */
  public boolean isHolder() {
    return lease.isHeld();
  }

  /** Keeps the lease and takes due steps; called every few milliseconds. */
  public void tick() {
    long now = clock.nowMs();
    Set<VersionKey> keys = watched();
    if (keys.isEmpty()) {
      return;
    }
    if (now >= nextLeaseMs && (lease.isHeld() || isCandidate())) {
      nextLeaseMs = now + LEASE_EVERY_MS;
      lease.tryHold();
    }
    if (now >= nextStepMs && lease.isHeld() && now >= busyUntilMs) {
      nextStepMs = now + STEP_EVERY_MS;
      if (loadedUnder == lease.fencingNumber()) {
        keys.forEach(this::step);
      } else {
        load(lease.fencingNumber());
      }
    }
  }

  /** Returns the versions with roll-out stages, and those in service that are stopped. */
  private Set<VersionKey> watched() {
    Set<VersionKey> keys = new LinkedHashSet<>();
    config
        .current()
        .rules()
        .ofKind(Rule.RolloutStage.class)
        .forEach(r -> keys.add(new VersionKey(r.model(), r.version())));
    config
        .current()
        .rules()
        .ofKind(Rule.Serve.class)
        .filter(r -> versions.stopped(r.model(), r.version()).isPresent())
        .forEach(r -> keys.add(new VersionKey(r.model(), r.version())));
    return keys;
  }

  private boolean isCandidate() {
    return membership.entries().stream()
        .map(NodeRecord::getId)
        .map(NodeId::getName)
        .sorted(Comparator.comparingLong(RolloutController::weight))
        .limit(CANDIDATES)
        .anyMatch(self.getName()::equals);
  }

  private static long weight(String name) {
    return Hashing.murmur3_128().hashString(PREFIX + name, StandardCharsets.UTF_8).asLong();
  }

  private void load(long number) {
    busyUntilMs = clock.nowMs() + RolloutLeaseKeeper.CALL_MS;
    CompletableFuture<List<StoredObject>> unused =
        store
            .list(PREFIX, "", MAX_STATES)
            .whenComplete((objects, failure) -> onLoaded(number, objects));
  }

  private void onLoaded(long number, @Nullable List<StoredObject> objects) {
    busyUntilMs = 0;
    if (objects == null) {
      return;
    }
    states.clear();
    objects.stream().filter(o -> !o.name().equals(RolloutLeaseKeeper.NAME)).forEach(this::take);
    loadedUnder = number;
  }

  private void take(StoredObject object) {
    RolloutState state = parse(object);
    states.put(keyOf(state), new Stored(object.version(), state));
    versions.onState(state);
  }

  private void step(VersionKey key) {
    ConfigView view = config.current();
    Optional<Stored> now = Optional.ofNullable(states.get(key));
    boolean newerConfig =
        now.filter(s -> s.state().getConfigVersion() > view.version()).isPresent();
    if (newerConfig || view.rules().withdrawn(key.model(), key.version()).isPresent()) {
      return;
    }
    RolloutSteps.next(key, now.map(Stored::state), inputs(key, view))
        .ifPresent(next -> write(key, now, next, view.version()));
  }

  private RolloutSteps.Inputs inputs(VersionKey key, ConfigView view) {
    VersionPlan plan = new VersionPlan(view);
    boolean paused =
        view.rules()
            .ofKind(Rule.PauseRollout.class)
            .anyMatch(r -> r.model().equals(key.model()) && r.version().equals(key.version()));
    Optional<Rule.ResumeRollout> resume =
        view.rules()
            .ofKind(Rule.ResumeRollout.class)
            .filter(r -> r.model().equals(key.model()) && r.version().equals(key.version()))
            .reduce((first, second) -> second);
    return new RolloutSteps.Inputs(
        plan.stages(key),
        paused,
        resume,
        plan.resumeHash(key),
        versions.stopped(key.model(), key.version()),
        versions.judged(key.model(), key.version()));
  }

  private void write(VersionKey key, Optional<Stored> now, RolloutState next, long configVersion) {
    busyUntilMs = clock.nowMs() + RolloutLeaseKeeper.CALL_MS;
    RolloutState state =
        next.toBuilder()
            .setConfigVersion(configVersion)
            .setFencingNumber(lease.fencingNumber())
            .setRevision(next.getRevision() + 1)
            .build();
    String name = PREFIX + key.model() + "/" + key.version();
    CompletableFuture<Long> written =
        now.isEmpty()
            ? store.create(name, state.toByteString())
            : store.update(name, state.toByteString(), now.get().version());
    CompletableFuture<Long> unused =
        written.whenComplete((version, failure) -> onWritten(key, state, version));
  }

  /** A write that failed, or whose answer was lost, is settled by reading all states again. */
  private void onWritten(VersionKey key, RolloutState state, @Nullable Long version) {
    busyUntilMs = 0;
    if (version == null) {
      loadedUnder = 0;
      return;
    }
    states.put(key, new Stored(version, state));
    versions.onState(state);
  }

  /** Returns the roll-outs as this node last read or wrote them. */
  public List<RolloutState> states() {
    return new ArrayList<>(states.values().stream().map(Stored::state).toList());
  }

  private static VersionKey keyOf(RolloutState state) {
    return new VersionKey(state.getModel(), state.getVersion());
  }

  private static RolloutState parse(StoredObject object) {
    try {
      return RolloutState.parseFrom(object.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("malformed object " + object.name(), e);
    }
  }
}
