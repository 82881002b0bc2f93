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

/** Chooses versions by the rules and stops a version on the evidence of all nodes. */
public final class EvidenceVersionPolicy implements VersionPolicy {
  private static final HashFunction SPREAD = Hashing.sipHash24();
  private static final double TWO_POW_64 = 0x1p64;
  private static final long RETRY_MS = 1000;
  private static final int MAX_REPORT_ENTRIES = 256;
  private static final long NODE_HEARD_MS = 10_000;

  private final NodeId self;
  private final Clock clock;
  private final RolloutOptions opts;
  private final Map<VersionKey, VersionEvidence> evidence = new HashMap<>();
  private final Map<VersionKey, BrakeNotice> brakes = new HashMap<>();
  private final Map<VersionKey, RolloutState> states = new HashMap<>();
  private final Map<VersionKey, Long> resumed = new HashMap<>();
  private final Map<String, Long> heard = new HashMap<>();
  private VersionPlan plan = new VersionPlan(ConfigView.none());
  private Consumer<BrakeNotice> listener = notice -> {};
  private Runnable newsListener = () -> {};

  private EvidenceVersionPolicy(NodeId self, Clock clock, RolloutOptions opts) {
    this.self = self;
    this.clock = clock;
    this.opts = opts;
  }

  /** Returns a policy without evidence. */
  public static EvidenceVersionPolicy create(NodeId self, Clock clock, RolloutOptions opts) {
    return new EvidenceVersionPolicy(self, clock, opts);
  }

  /** Sets who is told when this node stops a version by itself. */
  public void setBrakeListener(Consumer<BrakeNotice> listener) {
    this.listener = listener;
  }

  /** Sets who is told of each bad outcome, so that it sends the evidence to peers at once. */
  public void setNewsListener(Runnable listener) {
    newsListener = listener;
  }

  /** Takes a new configuration; {@link #choose} does so by itself. */
  public void onConfig(ConfigView config) {
    if (config.version() == plan.config().version() && config.rules() == plan.config().rules()) {
      return;
    }
    plan = new VersionPlan(config);
    evidence.keySet().removeIf(k -> !plan.names(k) && !brakes.containsKey(k));
    evidence.forEach(this::restartIfResumed);
  }

  private void restartIfResumed(VersionKey key, VersionEvidence seen) {
    long resume = plan.resumeHash(key);
    Long old = resumed.put(key, resume);
    if (resume != 0 && (old == null || old != resume)) {
      seen.restart(stageRequests(key));
    }
  }

  @Override
  public VersionChoice choose(ConfigView config, VersionQuery query) {
    onConfig(config);
    String kept = query.keptVersion();
    if (kept != null) {
      VersionKey key = new VersionKey(query.model(), kept);
      Optional<Rule.AllowModel> allow = plan.allow(query, key);
      if (allow.isPresent() && !plan.withdrawn(key) && !isStopped(key)) {
        return new VersionChoice(kept, false, Rule.lines(List.of(allow.get())));
      }
    }
    return Stream.concat(fromRollouts(query), fromService(query))
        .findFirst()
        .orElseThrow(() -> refusal(query));
  }

  private Stream<VersionChoice> fromRollouts(VersionQuery query) {
    return plan.rollouts(query.model()).stream()
        .filter(k -> inShare(k, query.spreadKey()) && mayTakeMore(k))
        .flatMap(k -> usable(query, k, stageRule(k).orElseThrow()).stream());
  }

  private Stream<VersionChoice> fromService(VersionQuery query) {
    return plan.serves(query.model()).stream()
        .flatMap(r -> usable(query, new VersionKey(r.model(), r.version()), r).stream());
  }

  private Optional<VersionChoice> usable(VersionQuery query, VersionKey key, Rule rule) {
    if (plan.withdrawn(key) || isStopped(key)) {
      return Optional.empty();
    }
    return plan.allow(query, key)
        .map(
            allow ->
                new VersionChoice(
                    key.version(), query.keptVersion() != null, Rule.lines(List.of(allow, rule))));
  }

  private RefusalException refusal(VersionQuery query) {
    String model = query.model();
    List<VersionKey> known =
        Stream.concat(
                plan.rollouts(model).stream(),
                plan.serves(model).stream().map(r -> new VersionKey(model, r.version())))
            .toList();
    if (known.isEmpty()) {
      return RefusalException.notRun(ResultCode.MODEL_UNKNOWN, "no version of " + model);
    }
    List<VersionKey> allowed =
        known.stream().filter(k -> plan.allow(query, k).isPresent()).toList();
    if (allowed.isEmpty()) {
      return RefusalException.notRun(
          ResultCode.MODEL_NOT_ALLOWED, query.account() + " may not use " + model);
    }
    if (allowed.stream().allMatch(plan::withdrawn)) {
      return RefusalException.notRun(
          ResultCode.VERSION_WITHDRAWN, "all versions of " + model + " are withdrawn");
    }
    return RefusalException.notRunRetry(
        ResultCode.NO_VERSION_IN_SERVICE, RETRY_MS, "no version of " + model + " takes new work");
  }

  private boolean inShare(VersionKey key, String spreadKey) {
    double share = stageRule(key).map(Rule.RolloutStage::share).orElse(0.0);
    long hash =
        SPREAD
            .newHasher()
            .putString(key.toString(), StandardCharsets.UTF_8)
            .putChar('\0')
            .putString(spreadKey, StandardCharsets.UTF_8)
            .hash()
            .asLong();
    return fraction(hash) < share;
  }

  private static double fraction(long hash) {
    double unsigned = (hash >>> 1) * 2.0 + (hash & 1);
    return Math.min(unsigned / TWO_POW_64, Math.nextDown(1.0));
  }

  /** Returns the rule of the stage in force; empty when no stage is. */
  private Optional<Rule.RolloutStage> stageRule(VersionKey key) {
    RolloutState state = states.get(key);
    List<Rule.RolloutStage> stages = plan.stages(key);
    if (state == null) {
      return opts.firstStageAtOnce() ? stages.stream().findFirst() : Optional.empty();
    }
    return stages.stream()
        .filter(s -> s.stage() <= state.getStage())
        .reduce((first, second) -> second);
  }

  private int stageRequests(VersionKey key) {
    return stageRule(key).map(Rule.RolloutStage::minRequests).orElse(opts.serviceStageRequests());
  }

  /** Holds an unproved version back while too many of its answers have no rating. */
  private boolean mayTakeMore(VersionKey key) {
    VersionEvidence seen = seen(key);
    long allowance = Math.max(1, opts.unratedCap() / nodes());
    return seen.unrated() < allowance + opts.unratedPerRating() * seen.ownRatings();
  }

  private int nodes() {
    long since = clock.nowMs() - NODE_HEARD_MS;
    heard.values().removeIf(at -> at < since);
    return 1 + heard.size();
  }

  /** Returns whether a version was stopped on evidence and not resumed since. */
  private boolean isStopped(VersionKey key) {
    BrakeNotice brake = brakes.get(key);
    if (brake == null) {
      return false;
    }
    long resume = plan.resumeHash(key);
    return plan.config().version() < brake.getConfigVersion()
        || resume == 0
        || resume == brake.getResumeHash();
  }

  private VersionEvidence seen(VersionKey key) {
    return evidence.computeIfAbsent(
        key,
        k -> {
          VersionEvidence fresh = new VersionEvidence(k, self, opts);
          stageRule(k).ifPresent(s -> fresh.restart(s.minRequests()));
          resumed.put(k, plan.resumeHash(k));
          return fresh;
        });
  }

  @Override
  public void dispatched(String model, String version) {
    seen(new VersionKey(model, version)).dispatched();
  }

  @Override
  public void finished(String model, String version, boolean failed) {
    VersionKey key = new VersionKey(model, version);
    seen(key).finished(failed);
    judge(key, !failed);
  }

  @Override
  public void rated(String model, String version, boolean good) {
    VersionKey key = new VersionKey(model, version);
    seen(key).rated(good);
    judge(key, good);
  }

  private void judge(VersionKey key, boolean good) {
    brakeIfBad(key);
    if (!good) {
      newsListener.run();
    }
  }

  private void brakeIfBad(VersionKey key) {
    if (isStopped(key)) {
      return;
    }
    seen(key)
        .stopReason(hasFallback(key))
        .ifPresent(
            reason -> {
              BrakeNotice notice =
                  BrakeNotice.newBuilder()
                      .setModel(key.model())
                      .setVersion(key.version())
                      .setReason(reason)
                      .setConfigVersion(plan.config().version())
                      .setResumeHash(plan.resumeHash(key))
                      .build();
              brakes.put(key, notice);
              listener.accept(notice);
            });
  }

  /** Returns whether another version takes this one's requests when it is stopped. */
  private boolean hasFallback(VersionKey key) {
    return plan.serves(key.model()).stream().anyMatch(r -> !r.version().equals(key.version()));
  }

  @Override
  public void onEvidence(EvidenceReport report) {
    report.getBrakeList().forEach(this::onBrake);
    report.getStateList().forEach(this::onState);
    for (Evidence e : report.getEvidenceList()) {
      if (e.getNode().equals(self)) {
        continue;
      }
      heard.put(e.getNode().getName(), clock.nowMs());
      VersionKey key = new VersionKey(e.getModel(), e.getVersion());
      if (seen(key).merge(e)) {
        brakeIfBad(key);
      }
    }
  }

  /** Takes the stage of a roll-out as its controller stored it. */
  public void onState(RolloutState state) {
    VersionKey key = new VersionKey(state.getModel(), state.getVersion());
    RolloutState old = states.get(key);
    if (old != null && Long.compareUnsigned(old.getRevision(), state.getRevision()) >= 0) {
      return;
    }
    states.put(key, state);
    if (old == null || old.getStage() != state.getStage()) {
      seen(key).restart(stageRequests(key));
    }
    if (state.getVerdict() == RolloutVerdict.STOPPED) {
      onBrake(brakeOf(state));
    }
  }

  private static BrakeNotice brakeOf(RolloutState state) {
    return BrakeNotice.newBuilder()
        .setModel(state.getModel())
        .setVersion(state.getVersion())
        .setReason(state.getReason())
        .setConfigVersion(state.getConfigVersion())
        .setResumeHash(state.getResumeHash())
        .build();
  }

  /** Returns the roll-outs as far as this node has heard of them. */
  public List<RolloutState> states() {
    return List.copyOf(states.values());
  }

  @Override
  public void onBrake(BrakeNotice notice) {
    VersionKey key = new VersionKey(notice.getModel(), notice.getVersion());
    BrakeNotice old = brakes.get(key);
    if (old == null || old.getConfigVersion() < notice.getConfigVersion()) {
      brakes.put(key, notice);
    }
  }

  @Override
  public EvidenceReport evidence() {
    EvidenceReport.Builder report = EvidenceReport.newBuilder();
    evidence.values().forEach(e -> report.addEvidence(e.own()));
    evidence.values().stream()
        .flatMap(e -> e.others().stream())
        .limit(MAX_REPORT_ENTRIES)
        .forEach(report::addEvidence);
    return report.addAllBrake(brakes.values()).addAllState(states.values()).build();
  }

  /** Returns the notice by which a version is stopped now; empty when it is not. */
  public Optional<BrakeNotice> stopped(String model, String version) {
    VersionKey key = new VersionKey(model, version);
    return isStopped(key) ? Optional.ofNullable(brakes.get(key)) : Optional.empty();
  }

  /** Returns the ratings of a version judged since its stage began. */
  public long judged(String model, String version) {
    return seen(new VersionKey(model, version)).judged();
  }

  /** Returns own requests of a version that have not ended. */
  public long inFlight(String model, String version) {
    return seen(new VersionKey(model, version)).inFlight();
  }
}
