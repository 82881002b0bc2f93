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
 * Advances model rollouts through their stages on the node that holds the controller lease.
 *
 * <p>Each rollout state is one object, written by conditional update against the version that the
 * decision was based on. A holder that was paused beyond its lease therefore cannot revert a step
 * of its successor; the lease only prevents two holders from competing.
 */
public final class RolloutController {
  private static final int MAX_CANDIDATES = 3;
  private static final long LEASE_INTERVAL_MS = 2_000;
  private static final long STEP_INTERVAL_MS = 500;
  private static final int MAX_STATES = 1_000;
  private static final String OBJECT_PREFIX = "rollout/";

  private record StoredState(long version, RolloutState state) {}

  private final NodeId self;
  private final ObjectStore store;
  private final Membership membership;
  private final ConfigSource config;
  private final EvidenceVersionPolicy versions;
  private final Clock clock;
  private final RolloutLeaseManager lease;
  private final Map<VersionKey, StoredState> states = new HashMap<>();
  private long loadedFencingNumber;
  private long nextLeaseAttemptMs;
  private long nextStepMs;
  private long callDeadlineMs;

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
    lease = RolloutLeaseManager.create(self, store, clock);
  }

  /** Creates a controller that does not hold the lease. */
  public static RolloutController create(
      NodeId self,
      ObjectStore store,
      Membership membership,
      ConfigSource config,
      EvidenceVersionPolicy versions,
      Clock clock) {
    return new RolloutController(self, store, membership, config, versions, clock);
  }

  /** Returns whether this node holds the controller lease. */
  public boolean isHolder() {
    return lease.isHeld();
  }

  /** Renews the lease and performs due steps; called every few milliseconds. */
  public void tick() {
    long now = clock.nowMs();
    Set<VersionKey> keys = managedVersions();
    if (keys.isEmpty()) {
      return;
    }
    if (now >= nextLeaseAttemptMs && (lease.isHeld() || isCandidate())) {
      nextLeaseAttemptMs = now + LEASE_INTERVAL_MS;
      lease.renewOrAcquire();
    }
    if (now >= nextStepMs && lease.isHeld() && now >= callDeadlineMs) {
      nextStepMs = now + STEP_INTERVAL_MS;
      if (loadedFencingNumber == lease.fencingNumber()) {
        keys.forEach(this::step);
      } else {
        load(lease.fencingNumber());
      }
    }
  }

  /** Returns the versions with rollout stages and the stopped versions in full service. */
  private Set<VersionKey> managedVersions() {
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
        .filter(r -> versions.stopNotice(r.model(), r.version()).isPresent())
        .forEach(r -> keys.add(new VersionKey(r.model(), r.version())));
    return keys;
  }

  private boolean isCandidate() {
    return membership.entryNodes().stream()
        .map(NodeRecord::getId)
        .map(NodeId::getName)
        .sorted(Comparator.comparingLong(RolloutController::candidateHash))
        .limit(MAX_CANDIDATES)
        .anyMatch(self.getName()::equals);
  }

  private static long candidateHash(String name) {
    return Hashing.murmur3_128().hashString(OBJECT_PREFIX + name, StandardCharsets.UTF_8).asLong();
  }

  private void load(long fencingNumber) {
    callDeadlineMs = clock.nowMs() + RolloutLeaseManager.CALL_TIMEOUT_MS;
    CompletableFuture<List<StoredObject>> unused =
        store
            .list(OBJECT_PREFIX, "", MAX_STATES)
            .whenComplete((objects, failure) -> onLoaded(fencingNumber, objects));
  }

  private void onLoaded(long fencingNumber, @Nullable List<StoredObject> objects) {
    callDeadlineMs = 0;
    if (objects == null) {
      return;
    }
    states.clear();
    objects.stream()
        .filter(o -> !o.name().equals(RolloutLeaseManager.OBJECT_NAME))
        .forEach(this::addState);
    loadedFencingNumber = fencingNumber;
  }

  private void addState(StoredObject object) {
    RolloutState state = parse(object);
    states.put(keyOf(state), new StoredState(object.version(), state));
    versions.onState(state);
  }

  private void step(VersionKey key) {
    ConfigView configView = config.current();
    Optional<StoredState> current = Optional.ofNullable(states.get(key));
    boolean newerConfig =
        current.filter(s -> s.state().getConfigVersion() > configView.version()).isPresent();
    if (newerConfig || configView.rules().withdrawRule(key.model(), key.version()).isPresent()) {
      return;
    }
    RolloutSteps.next(key, current.map(StoredState::state), inputs(key, configView))
        .ifPresent(next -> write(key, current, next, configView.version()));
  }

  private RolloutSteps.Inputs inputs(VersionKey key, ConfigView configView) {
    VersionRules versionRules = new VersionRules(configView);
    boolean paused =
        configView
            .rules()
            .ofKind(Rule.PauseRollout.class)
            .anyMatch(r -> r.model().equals(key.model()) && r.version().equals(key.version()));
    Optional<Rule.ResumeRollout> resume =
        configView
            .rules()
            .ofKind(Rule.ResumeRollout.class)
            .filter(r -> r.model().equals(key.model()) && r.version().equals(key.version()))
            .reduce((first, second) -> second);
    return new RolloutSteps.Inputs(
        versionRules.stages(key),
        paused,
        resume,
        versionRules.resumeHash(key),
        versions.stopNotice(key.model(), key.version()),
        versions.ratingsInStage(key.model(), key.version()));
  }

  private void write(
      VersionKey key, Optional<StoredState> current, RolloutState next, long configVersion) {
    callDeadlineMs = clock.nowMs() + RolloutLeaseManager.CALL_TIMEOUT_MS;
    RolloutState state =
        next.toBuilder()
            .setConfigVersion(configVersion)
            .setFencingNumber(lease.fencingNumber())
            .setRevision(next.getRevision() + 1)
            .build();
    String name = OBJECT_PREFIX + key.model() + "/" + key.version();
    CompletableFuture<Long> written =
        current.isEmpty()
            ? store.create(name, state.toByteString())
            : store.update(name, state.toByteString(), current.get().version());
    CompletableFuture<Long> unused =
        written.whenComplete((version, failure) -> onWritten(key, state, version));
  }

  /** Reloads all states after a failed write or a lost response, since the outcome is unknown. */
  private void onWritten(VersionKey key, RolloutState state, @Nullable Long version) {
    callDeadlineMs = 0;
    if (version == null) {
      loadedFencingNumber = 0;
      return;
    }
    states.put(key, new StoredState(version, state));
    versions.onState(state);
  }

  /** Returns the rollout states as this node last read or wrote them. */
  public List<RolloutState> states() {
    return new ArrayList<>(states.values().stream().map(StoredState::state).toList());
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
