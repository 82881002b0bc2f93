package org.currantslip.core.rollout;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rules.Rule;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.Evidence;
import org.currantslip.schema.EvidenceReport;
import org.currantslip.schema.NodeId;
import org.currantslip.schema.RolloutState;
import org.currantslip.schema.RolloutVerdict;

/** Chooses model versions by the rules and stops a version based on evidence from all nodes. */
public final class EvidenceVersionPolicy implements VersionPolicy {
  private static final HashFunction SHARE_HASH = Hashing.sipHash24();
  private static final double TWO_POW_64 = 0x1p64;
  private static final long RETRY_AFTER_MS = 1000;
  private static final int MAX_PEER_ENTRIES = 256;
  private static final long ACTIVE_NODE_WINDOW_MS = 10_000;

  private final NodeId self;
  private final Clock clock;
  private final RolloutOptions options;
  private final Map<VersionKey, VersionEvidence> evidenceByVersion = new HashMap<>();
  private final Map<VersionKey, BrakeNotice> stopNotices = new HashMap<>();
  private final Map<VersionKey, RolloutState> states = new HashMap<>();
  private final Map<VersionKey, Long> resumeHashes = new HashMap<>();
  private final Map<String, Long> lastReportMs = new HashMap<>();
  private VersionRules versionRules = new VersionRules(ConfigView.none());
  private Consumer<BrakeNotice> stopListener = notice -> {};
  private Runnable badOutcomeListener = () -> {};

  private EvidenceVersionPolicy(NodeId self, Clock clock, RolloutOptions options) {
    this.self = self;
    this.clock = clock;
    this.options = options;
  }

  /** Creates a policy with no evidence. */
  public static EvidenceVersionPolicy create(NodeId self, Clock clock, RolloutOptions options) {
    return new EvidenceVersionPolicy(self, clock, options);
  }

  /** Sets the listener called when this node decides to stop a version. */
  public void setStopListener(Consumer<BrakeNotice> listener) {
    this.stopListener = listener;
  }

  /** Sets the listener called on each bad outcome, so that evidence is sent to peers at once. */
  public void setBadOutcomeListener(Runnable listener) {
    badOutcomeListener = listener;
  }

  /** Applies a new configuration; {@link #choose} calls this itself. */
  public void onConfig(ConfigView config) {
    if (config.version() == versionRules.config().version()
        && config.rules() == versionRules.config().rules()) {
      return;
    }
    versionRules = new VersionRules(config);
    evidenceByVersion
        .keySet()
        .removeIf(k -> !versionRules.isConfigured(k) && !stopNotices.containsKey(k));
    evidenceByVersion.forEach(this::restartIfResumed);
  }

  private void restartIfResumed(VersionKey key, VersionEvidence evidence) {
    long resume = versionRules.resumeHash(key);
    Long old = resumeHashes.put(key, resume);
    if (resume != 0 && (old == null || old != resume)) {
      evidence.restart(stageRequests(key));
    }
  }

  @Override
  public VersionChoice choose(ConfigView config, VersionQuery query) {
    onConfig(config);
    String boundVersion = query.boundVersion();
    if (boundVersion != null) {
      VersionKey key = new VersionKey(query.model(), boundVersion);
      Optional<Rule.AllowModel> allowRule = versionRules.allowRule(query, key);
      if (allowRule.isPresent() && !versionRules.isWithdrawn(key) && !isStopped(key)) {
        return new VersionChoice(boundVersion, false, Rule.lines(List.of(allowRule.get())));
      }
    }
    return Stream.concat(rolloutChoices(query), serveChoices(query))
        .findFirst()
        .orElseThrow(() -> refusalFor(query));
  }

  private Stream<VersionChoice> rolloutChoices(VersionQuery query) {
    return versionRules.rolloutVersions(query.model()).stream()
        .filter(k -> isInShare(k, query.stickinessKey()) && isBelowUnratedLimit(k))
        .flatMap(k -> choiceIfAllowed(query, k, currentStage(k).orElseThrow()).stream());
  }

  private Stream<VersionChoice> serveChoices(VersionQuery query) {
    return versionRules.serveRules(query.model()).stream()
        .flatMap(r -> choiceIfAllowed(query, new VersionKey(r.model(), r.version()), r).stream());
  }

  private Optional<VersionChoice> choiceIfAllowed(VersionQuery query, VersionKey key, Rule rule) {
    if (versionRules.isWithdrawn(key) || isStopped(key)) {
      return Optional.empty();
    }
    return versionRules
        .allowRule(query, key)
        .map(
            allowRule ->
                new VersionChoice(
                    key.version(),
                    query.boundVersion() != null,
                    Rule.lines(List.of(allowRule, rule))));
  }

  private RefusalException refusalFor(VersionQuery query) {
    String model = query.model();
    List<VersionKey> known =
        Stream.concat(
                versionRules.rolloutVersions(model).stream(),
                versionRules.serveRules(model).stream()
                    .map(r -> new VersionKey(model, r.version())))
            .toList();
    if (known.isEmpty()) {
      return RefusalException.notRun(ResultCode.MODEL_UNKNOWN, "no version of " + model);
    }
    List<VersionKey> allowed =
        known.stream().filter(k -> versionRules.allowRule(query, k).isPresent()).toList();
    if (allowed.isEmpty()) {
      return RefusalException.notRun(
          ResultCode.MODEL_NOT_ALLOWED, query.account() + " may not use " + model);
    }
    if (allowed.stream().allMatch(versionRules::isWithdrawn)) {
      return RefusalException.notRun(
          ResultCode.VERSION_WITHDRAWN, "all versions of " + model + " are withdrawn");
    }
    return RefusalException.notRunRetryable(
        ResultCode.NO_VERSION_IN_SERVICE,
        RETRY_AFTER_MS,
        "no version of " + model + " accepts new requests");
  }

  private boolean isInShare(VersionKey key, String stickinessKey) {
    double share = currentStage(key).map(Rule.RolloutStage::share).orElse(0.0);
    long hash =
        SHARE_HASH
            .newHasher()
            .putString(key.toString(), StandardCharsets.UTF_8)
            .putChar('\0')
            .putString(stickinessKey, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return fraction(hash) < share;
  }

  private static double fraction(long hash) {
    double unsigned = (hash >>> 1) * 2.0 + (hash & 1);
    return Math.min(unsigned / TWO_POW_64, Math.nextDown(1.0));
  }

  /** Returns the rule of the current rollout stage; empty if there is none. */
  private Optional<Rule.RolloutStage> currentStage(VersionKey key) {
    RolloutState state = states.get(key);
    List<Rule.RolloutStage> stages = versionRules.stages(key);
    if (state == null) {
      return options.firstStageAtOnce() ? stages.stream().findFirst() : Optional.empty();
    }
    return stages.stream()
        .filter(s -> s.stage() <= state.getStage())
        .reduce((first, second) -> second);
  }

  private int stageRequests(VersionKey key) {
    return currentStage(key)
        .map(Rule.RolloutStage::minRequests)
        .orElse(options.serviceStageRequests());
  }

  /** Limits the exposure of a version in rollout while too many of its answers are unrated. */
  private boolean isBelowUnratedLimit(VersionKey key) {
    VersionEvidence evidence = evidenceFor(key);
    long allowance = Math.max(1, options.unratedCap() / activeNodes());
    return evidence.unrated() < allowance + options.unratedPerRating() * evidence.localRatings();
  }

  private int activeNodes() {
    long cutoffMs = clock.nowMs() - ACTIVE_NODE_WINDOW_MS;
    lastReportMs.values().removeIf(reportMs -> reportMs < cutoffMs);
    return 1 + lastReportMs.size();
  }

  /** Returns whether a version was stopped and has not been resumed since. */
  private boolean isStopped(VersionKey key) {
    BrakeNotice stopNotice = stopNotices.get(key);
    if (stopNotice == null) {
      return false;
    }
    long resume = versionRules.resumeHash(key);
    return versionRules.config().version() < stopNotice.getConfigVersion()
        || resume == 0
        || resume == stopNotice.getResumeHash();
  }

  private VersionEvidence evidenceFor(VersionKey key) {
    return evidenceByVersion.computeIfAbsent(
        key,
        k -> {
          VersionEvidence created = new VersionEvidence(k, self, options);
          currentStage(k).ifPresent(s -> created.restart(s.minRequests()));
          resumeHashes.put(k, versionRules.resumeHash(k));
          return created;
        });
  }

  @Override
  public void onDispatched(String model, String version) {
    evidenceFor(new VersionKey(model, version)).dispatched();
  }

  @Override
  public void onFinished(String model, String version, boolean failed) {
    VersionKey key = new VersionKey(model, version);
    evidenceFor(key).finished(failed);
    evaluate(key, !failed);
  }

  @Override
  public void onRated(String model, String version, boolean good) {
    VersionKey key = new VersionKey(model, version);
    evidenceFor(key).rated(good);
    evaluate(key, good);
  }

  private void evaluate(VersionKey key, boolean good) {
    stopIfBad(key);
    if (!good) {
      badOutcomeListener.run();
    }
  }

  private void stopIfBad(VersionKey key) {
    if (isStopped(key)) {
      return;
    }
    evidenceFor(key)
        .stopReason(hasFallback(key))
        .ifPresent(
            reason -> {
              BrakeNotice notice =
                  BrakeNotice.newBuilder()
                      .setModel(key.model())
                      .setVersion(key.version())
                      .setReason(reason)
                      .setConfigVersion(versionRules.config().version())
                      .setResumeHash(versionRules.resumeHash(key))
                      .build();
              stopNotices.put(key, notice);
              stopListener.accept(notice);
            });
  }

  /** Returns whether another version in full service can take over the requests of this one. */
  private boolean hasFallback(VersionKey key) {
    return versionRules.serveRules(key.model()).stream()
        .anyMatch(r -> !r.version().equals(key.version()));
  }

  @Override
  public void onEvidence(EvidenceReport report) {
    report.getBrakeList().forEach(this::onStopNotice);
    report.getStateList().forEach(this::onState);
    for (Evidence e : report.getEvidenceList()) {
      if (e.getNode().equals(self)) {
        continue;
      }
      lastReportMs.put(e.getNode().getName(), clock.nowMs());
      VersionKey key = new VersionKey(e.getModel(), e.getVersion());
      if (evidenceFor(key).merge(e)) {
        stopIfBad(key);
      }
    }
  }

  /** Applies a rollout state stored by the rollout controller. */
  public void onState(RolloutState state) {
    VersionKey key = new VersionKey(state.getModel(), state.getVersion());
    RolloutState old = states.get(key);
    if (old != null && Long.compareUnsigned(old.getRevision(), state.getRevision()) >= 0) {
      return;
    }
    states.put(key, state);
    if (old == null || old.getStage() != state.getStage()) {
      evidenceFor(key).restart(stageRequests(key));
    }
    if (state.getVerdict() == RolloutVerdict.STOPPED) {
      onStopNotice(stopNoticeOf(state));
    }
  }

  private static BrakeNotice stopNoticeOf(RolloutState state) {
    return BrakeNotice.newBuilder()
        .setModel(state.getModel())
        .setVersion(state.getVersion())
        .setReason(state.getReason())
        .setConfigVersion(state.getConfigVersion())
        .setResumeHash(state.getResumeHash())
        .build();
  }

  /** Returns the latest rollout states known to this node. */
  public List<RolloutState> states() {
    return List.copyOf(states.values());
  }

  @Override
  public void onStopNotice(BrakeNotice notice) {
    VersionKey key = new VersionKey(notice.getModel(), notice.getVersion());
    BrakeNotice old = stopNotices.get(key);
    if (old == null || old.getConfigVersion() < notice.getConfigVersion()) {
      stopNotices.put(key, notice);
    }
  }

  @Override
  public EvidenceReport evidence() {
    EvidenceReport.Builder report = EvidenceReport.newBuilder();
    evidenceByVersion.values().forEach(e -> report.addEvidence(e.localEvidence()));
    evidenceByVersion.values().stream()
        .flatMap(e -> e.peerEvidence().stream())
        .limit(MAX_PEER_ENTRIES)
        .forEach(report::addEvidence);
    return report.addAllBrake(stopNotices.values()).addAllState(states.values()).build();
  }

  /** Returns the stop notice in effect for a version; empty if the version is not stopped. */
  public Optional<BrakeNotice> stopNotice(String model, String version) {
    VersionKey key = new VersionKey(model, version);
    return isStopped(key) ? Optional.ofNullable(stopNotices.get(key)) : Optional.empty();
  }

  /** Returns the number of ratings of a version since its current stage began. */
  public long ratingsInStage(String model, String version) {
    return evidenceFor(new VersionKey(model, version)).ratingsInStage();
  }

  /** Returns the number of this node's requests to a version that are in flight. */
  public long inFlight(String model, String version) {
    return evidenceFor(new VersionKey(model, version)).inFlight();
  }
}
