package org.currantslip.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.EndpointCrash;
import org.currantslip.schema.PartSuccess;
import org.currantslip.schema.PartVerdict;
import org.currantslip.schema.QuarantineUpdate;
import org.currantslip.schema.SuspectPart;
import org.jspecify.annotations.Nullable;

/**
 * Finds prompt parts and whole requests under which endpoints crash, and keeps them from being sent
 * to further endpoints.
 *
 * <p>Each node reports the crashes it sees to the judges of the suspected fingerprints. A judge
 * that finds that one makes endpoints crash announces this to all nodes. From time to time a single
 * request is let through, and its success ends the quarantine.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
public final class PromptQuarantine {
  private static final int MAX_SUCCESSES = 16_384;
  private static final int MAX_REPORTED = 4_096;
  private static final int MAX_SUSPECTS = 256;
  private static final int MAX_SERVICES = 256;
  private static final int JUDGES = 2;

  /** Crashes under a part after which a request with it is not repeated. */
  private static final int MAX_CRASHES_TO_REPEAT = 2;

  /** Endpoints that one request may see crash. */
  private static final int MAX_CRASHES_PER_REQUEST = 2;

  /** Crashes of which a whole request is convicted. */
  private static final int MAX_REQUEST_CRASHES = 3;

  /** Time for which a node must have seen answers of a service to have seen most of its parts. */
  private static final long WARM_UP_MS = 5_000;

  /** Time from the first crash under a part within which a success of it is awaited. */
  private static final long MAX_AWAITED_MS = 1_500;

  private static final long MIN_RETRY_AFTER_MS = 1_000;
  private static final long MIN_SUCCESS_INTERVAL_MS = 300;

  private final Clock clock;
  private final QuarantinePeers peers;
  private final CrashDetector detector;
  private BooleanSupplier doubt = () -> false;
  private final CrashEvidence ownEvidence = CrashEvidence.create();
  private final CrashEvidence judgedEvidence = CrashEvidence.create();
  private final Verdicts verdicts;
  private final Map<Fingerprint, Long> partSuccessMs = RecentMap.ofSize(MAX_SUCCESSES);
  private final Map<Fingerprint, Long> requestSuccessMs = RecentMap.ofSize(MAX_SUCCESSES);
  private final Map<Fingerprint, Long> reportedMs = RecentMap.ofSize(MAX_REPORTED);
  private final Map<Fingerprint, Long> successSentMs = RecentMap.ofSize(MAX_REPORTED);
  private final Map<String, Long> firstSuccessMs = RecentMap.ofSize(MAX_SERVICES);

  /** Fingerprints of trials that this node started, but that did not reach an endpoint. */
  private final Set<Fingerprint> unusedTrials = new HashSet<>();

  /** Fingerprints whose verdict waits for successes of other requests. */
  private final Set<Fingerprint> undecided = new LinkedHashSet<>();

  private final Resends<Crash> crashResends;
  private final Resends<Fingerprint> successResends;
  private final Resends<Fingerprint> verdictResends;
  private QuarantineListener listener = QuarantineListener.none();

  private PromptQuarantine(Clock clock, QuarantinePeers peers) {
    this.clock = clock;
    this.peers = peers;
    detector = CrashDetector.create(clock);
    verdicts = Verdicts.create(clock);
    crashResends = Resends.create(clock);
    successResends = Resends.create(clock);
    verdictResends = Resends.create(clock);
  }

  /** Creates a quarantine without any evidence. */
  public static PromptQuarantine create(Clock clock, QuarantinePeers peers) {
    return new PromptQuarantine(clock, peers);
  }

  /** Sets the listener for the findings of this node. */
  public void setListener(QuarantineListener listener) {
    this.listener = listener;
  }

  /**
   * Returns whether a request may be sent now. To be asked before each sending, right before {@link
   * #onSent}.
   */
  public Admission check(RequestFingerprints fingerprints) {
    List<Fingerprint> quarantined = fingerprints.stream().filter(verdicts::isQuarantined).toList();
    if (quarantined.isEmpty()) {
      return Admission.send();
    }
    long untilTrialMs = quarantined.stream().mapToLong(verdicts::untilTrialMs).max().orElse(0);
    return mayRunTrial(quarantined)
        ? Admission.sendAsTrial()
        : Admission.refuse(Math.max(MIN_RETRY_AFTER_MS, untilTrialMs));
  }

  /**
   * Returns whether a request with these fingerprints may be sent as a trial of them. A request
   * with several of them may fail because of another one, so it waits for those with a single one.
   */
  private boolean mayRunTrial(List<Fingerprint> quarantined) {
    return quarantined.stream()
            .allMatch(key -> quarantined.size() == 1 || verdicts.isTrialLate(key))
        && quarantined.stream()
            .min(Comparator.comparing(Fingerprint::id))
            .filter(this::mayRunTrial)
            .isPresent();
  }

  private boolean mayRunTrial(Fingerprint key) {
    if (unusedTrials.contains(key) && verdicts.untilTrialMs(key) > 0) {
      return true;
    }
    long trialNodes = verdicts.trialNodes(key);
    return trialNodes > 0
        && peers.rankedNodes(key.service(), key.id()).stream()
            .limit(trialNodes)
            .anyMatch(peers.self()::equals);
  }

  private List<String> judges(Fingerprint key) {
    return peers.rankedNodes(key.service(), key.id()).stream().limit(JUDGES).toList();
  }

  /**
   * Records that a request is sent to an endpoint. The call is to be ended by {@link #onBroken},
   * {@link #onEnded}, {@link #onNotSent} or {@link #onAbandoned}.
   */
  public PromptCall onSent(RequestFingerprints fingerprints, EndpointInstance endpoint) {
    PromptCall call = PromptCall.of(endpoint, fingerprints, clock.nowMs());
    detector.onSent(call);
    fingerprints.stream().filter(verdicts::isQuarantined).forEach(key -> startTrial(key, call));
    return call;
  }

  private void startTrial(Fingerprint key, PromptCall call) {
    boolean unused = unusedTrials.remove(key);
    if (verdicts.untilTrialMs(key) <= 0) {
      call.markTrial();
      announce(key, verdicts.startTrial(key));
    } else if (unused) {
      call.markTrial();
    }
  }

  /**
   * Records progress beyond the first event of a response: each further event, or its complete and
   * successful end.
   */
  public void onProgress(PromptCall call) {
    detector.onProgress(call);
    if (!call.progressed()) {
      call.markProgressed();
      call.parts().forEach(this::onSuccess);
    }
  }

  /** Records the complete and successful end of a response. */
  public void onAnswered(PromptCall call) {
    onProgress(call);
    call.request().ifPresent(this::onSuccess);
    detector.onEnded(call);
  }

  private Map<Fingerprint, Long> successes(Fingerprint key) {
    return key.isRequest() ? requestSuccessMs : partSuccessMs;
  }

  private @Nullable Long successMs(Fingerprint key) {
    return successes(key).get(key);
  }

  private boolean isAnswered(Fingerprint key) {
    return successes(key).containsKey(key);
  }

  private void onSuccess(Fingerprint key) {
    long nowMs = clock.nowMs();
    successes(key).put(key, nowMs);
    firstSuccessMs.putIfAbsent(key.service(), nowMs);
    boolean awaited = reportedMs.remove(key) != null || verdicts.isQuarantined(key);
    if (awaited && isSuccessDue(key, nowMs)) {
      successSentMs.put(key, nowMs);
      sendSuccess(key);
      successResends.add(key);
    }
  }

  private boolean isSuccessDue(Fingerprint key, long nowMs) {
    Long sentMs = successSentMs.get(key);
    return sentMs == null || nowMs - sentMs >= MIN_SUCCESS_INTERVAL_MS;
  }

  /**
   * Records that the connection of a call broke before its response was complete, for no known
   * reason.
   */
  public void onBroken(PromptCall call) {
    detector.onBroken(call);
  }

  /**
   * Records any other end of a call that says nothing about its prompt, such as a response, a
   * refusal, or a connection that broke because the endpoint left as planned.
   */
  public void onEnded(PromptCall call) {
    detector.onEnded(call);
  }

  /** Records that a call never reached its endpoint, since no connection was established. */
  public void onNotSent(PromptCall call) {
    detector.onEnded(call);
    if (call.isTrial()) {
      call.fingerprints().stream().filter(verdicts::isQuarantined).forEach(unusedTrials::add);
    }
  }

  /** Records that the router gave up a call, on which the endpoint may still be at work. */
  public void onAbandoned(PromptCall call) {
    detector.onAbandoned(call);
  }

  /**
   * Returns whether the parts of a prompt allow that it is sent again after a call of it broke
   * without progress.
   *
   * @param crashes number of calls of this request that broke without progress
   */
  public boolean mayRepeatPrompt(RequestFingerprints fingerprints, int crashes) {
    List<Fingerprint> parts = fingerprints.parts();
    Predicate<Fingerprint> suspected =
        key -> !isAnswered(key) && ownEvidence.crashCount(key) >= MAX_CRASHES_TO_REPEAT;
    return parts.isEmpty()
        || (crashes < MAX_CRASHES_PER_REQUEST
            && parts.stream().noneMatch(suspected.or(verdicts::isQuarantined)));
  }

  /**
   * Returns whether a request may be sent again after a call of it broke.
   *
   * @param crashes number of calls that broke, those of earlier tries included
   */
  public boolean mayRepeatRequest(RequestFingerprints fingerprints, int crashes) {
    return crashes < MAX_REQUEST_CRASHES
        && fingerprints.request().filter(verdicts::isQuarantined).isEmpty();
  }

  /** Returns the number of crashes that this node knows to have happened under a request. */
  public int crashCount(RequestFingerprints fingerprints) {
    return fingerprints
        .request()
        .map(key -> Math.max(ownEvidence.crashCount(key), judgedEvidence.crashCount(key)))
        .orElse(0);
  }

  /** Handles a message of another node. */
  public void onUpdate(String fromNode, QuarantineUpdate update) {
    long nowMs = clock.nowMs();
    update
        .getSuccessList()
        .forEach(
            s -> judgeSuccess(new Fingerprint(s.getService(), s.getPart()), nowMs - s.getAgeMs()));
    update.getCrashList().stream()
        .filter(crash -> crash.getPartCount() > 0)
        .forEach(crash -> judgeCrash(fromNode, crash, nowMs));
    List<EndpointCrash> explained =
        update.getCrashList().stream().filter(crash -> crash.getPartCount() == 0).toList();
    update.getVerdictList().stream()
        .limit(1)
        .forEach(verdict -> onExplained(key(verdict), explained, nowMs));
    update.getVerdictList().forEach(verdict -> onVerdict(fromNode, verdict));
  }

  private static Fingerprint key(PartVerdict verdict) {
    return new Fingerprint(verdict.getService(), verdict.getPart());
  }

  /**
   * Lifts the verdicts of this node on parts that do not hold since this conviction explains the
   * crashes. One on a request ends by its success only, as a lift ends the suspicion, too.
   */
  private void onExplained(Fingerprint by, List<EndpointCrash> crashes, long nowMs) {
    if (crashes.isEmpty()) {
      return;
    }
    List<Crash> explained =
        crashes.stream()
            .map(
                c ->
                    new Crash(
                        new EndpointInstance(c.getEndpoint(), c.getEndpointStartedMs()),
                        nowMs - c.getAgeMs(),
                        Map.of()))
            .toList();
    List<Fingerprint> convicted =
        verdicts.quarantined().stream()
            .filter(key -> !key.isRequest() && judgedEvidence.isConvicted(key))
            .toList();
    if (!judgedEvidence.addExplained(by, explained)) {
      return;
    }
    convicted.stream()
        .filter(key -> !judgedEvidence.isConvicted(key))
        .forEach(key -> announce(key, verdicts.lift(key)));
  }

  private void judgeCrash(String fromNode, EndpointCrash crash, long nowMs) {
    EndpointInstance endpoint =
        new EndpointInstance(crash.getEndpoint(), crash.getEndpointStartedMs());
    crash
        .getPartList()
        .forEach(
            part -> {
              Fingerprint key = new Fingerprint(crash.getService(), part.getId());
              judgedEvidence.addCrash(
                  key, endpoint, nowMs - crash.getAgeMs(), nowMs - part.getSentAgeMs());
              judge(key);
              if (verdicts.isQuarantined(key)) {
                sendVerdictTo(fromNode, key);
              }
            });
  }

  private void judge(Fingerprint key) {
    Long ownSuccessMs = successMs(key);
    if (ownSuccessMs != null) {
      judgedEvidence.addSuccess(key, ownSuccessMs);
    }
    boolean convicted = !verdicts.isQuarantined(key) && judgedEvidence.isConvicted(key);
    if (convicted && isSuccessAwaited(key)) {
      undecided.add(key);
      return;
    }
    undecided.remove(key);
    if (convicted) {
      announce(key, verdicts.quarantine(key));
    }
  }

  /**
   * Returns whether the lack of a success says little yet, since this node has not seen answers of
   * the service for long.
   */
  private boolean isSuccessAwaited(Fingerprint key) {
    long nowMs = clock.nowMs();
    Long firstMs = firstSuccessMs.get(key.service());
    boolean warm = firstMs != null && nowMs - firstMs >= WARM_UP_MS;
    return !warm && nowMs - judgedEvidence.firstCrashMs(key) < MAX_AWAITED_MS;
  }

  private void judgeSuccess(Fingerprint key, long succeededMs) {
    boolean convicted = judgedEvidence.isConvicted(key);
    judgedEvidence.addSuccess(key, succeededMs);
    boolean cleared = convicted && !judgedEvidence.isConvicted(key);
    boolean laterThanVerdict =
        verdicts.reachedMs(key).filter(reachedMs -> succeededMs > reachedMs).isPresent();
    if (verdicts.isQuarantined(key) && (cleared || laterThanVerdict)) {
      announce(key, verdicts.lift(key));
    }
  }

  /** Merges a verdict; a judge passes on what it did not know. */
  private void onVerdict(String fromNode, PartVerdict verdict) {
    Fingerprint key = key(verdict);
    if (verdicts.merge(verdict)) {
      if (!verdict.getQuarantined()) {
        clear(key);
      } else if (isAnswered(key)) {
        sendSuccess(key);
        successResends.add(key);
      }
      if (judges(key).contains(peers.self())) {
        verdicts.message(key).ifPresent(this::sendVerdict);
        verdictResends.add(key);
      }
    } else if (verdict.getQuarantined() && !verdicts.isQuarantined(key)) {
      sendVerdictTo(fromNode, key);
    }
  }

  private void sendVerdictTo(String node, Fingerprint key) {
    if (!node.equals(peers.self())) {
      verdicts.message(key).ifPresent(v -> peers.send(node, update().addVerdict(v).build()));
    }
  }

  private void clear(Fingerprint key) {
    judgedEvidence.removeExplained(key);
    verdicts
        .reachedMs(key)
        .ifPresent(
            liftedMs -> {
              judgedEvidence.addSuccess(key, liftedMs);
              ownEvidence.addSuccess(key, liftedMs);
            });
  }

  /** Returns the verdicts by which a request is quarantined. */
  public List<PartVerdict> verdicts(RequestFingerprints fingerprints) {
    return fingerprints.stream()
        .filter(verdicts::isQuarantined)
        .flatMap(key -> verdicts.message(key).stream())
        .toList();
  }

  /** Returns the number of quarantined parts and requests. */
  public int quarantinedCount() {
    return verdicts.quarantined().size();
  }

  /** Returns the verdicts for a node to which the link was opened. */
  public QuarantineUpdate snapshot() {
    return update().addAllVerdict(verdicts.messages().toList()).build();
  }

  /**
   * Sets the condition under which calls may have broken for lack of a path, so that no crash is
   * inferred now.
   */
  public void setDoubt(BooleanSupplier condition) {
    doubt = condition;
  }

  /** Drops the calls that broke lately, since the path to the endpoints was lost. */
  public void forgetBroken() {
    detector.forgetBroken();
  }

  /** Reports crashes and sends messages again. To be called every few hundredths of a second. */
  public void tick() {
    if (!doubt.getAsBoolean()) {
      detector.poll().forEach(this::report);
    }
    crashResends.poll().forEach(this::sendCrash);
    successResends.poll().forEach(this::sendSuccess);
    verdictResends.poll().forEach(key -> verdicts.message(key).ifPresent(this::sendVerdict));
    verdicts.expire();
    unusedTrials.removeIf(key -> !verdicts.isQuarantined(key));
    List.copyOf(undecided).forEach(this::judge);
  }

  private void report(Crash crash) {
    Crash reported = crash.keep(suspectsToReport(crash));
    reported
        .suspects()
        .forEach(
            (key, sentMs) -> {
              ownEvidence.addCrash(key, crash.endpoint(), crash.crashedMs(), sentMs);
              reportedMs.put(key, clock.nowMs());
            });
    sendCrash(reported);
    crashResends.add(reported);
    reportedByService(reported).forEach(listener::onCrash);
  }

  /**
   * Returns the fingerprints to report. Those that were never answered come first; the others are
   * left out if a quarantined one explains the crash.
   */
  private List<Fingerprint> suspectsToReport(Crash crash) {
    return Stream.of(true, false)
        .flatMap(requests -> suspectsToReport(crash, requests).limit(MAX_SUSPECTS))
        .toList();
  }

  private Stream<Fingerprint> suspectsToReport(Crash crash, boolean requests) {
    boolean explained = crash.suspects().keySet().stream().anyMatch(verdicts::isQuarantined);
    return crash.suspects().keySet().stream()
        .filter(key -> key.isRequest() == requests)
        .filter(key -> !explained || !isAnswered(key))
        .sorted(Comparator.comparing(this::isAnswered));
  }

  private void sendCrash(Crash crash) {
    long nowMs = clock.nowMs();
    Map<String, QuarantineUpdate.Builder> updates = new HashMap<>();
    crash
        .suspects()
        .forEach(
            (key, sentMs) ->
                judges(key)
                    .forEach(
                        judge ->
                            addSuspect(
                                updates.computeIfAbsent(judge, j -> update()), crash, key, nowMs)));
    updates.forEach((judge, update) -> sendToJudge(judge, update.build()));
  }

  private void addSuspect(
      QuarantineUpdate.Builder update, Crash crash, Fingerprint key, long nowMs) {
    update.getCrashBuilderList().stream()
        .filter(c -> c.getService().equals(key.service()))
        .findFirst()
        .orElseGet(() -> update.addCrashBuilder().mergeFrom(message(crash, key.service(), nowMs)))
        .addPart(
            SuspectPart.newBuilder()
                .setId(key.id())
                .setSentAgeMs(Math.max(0, nowMs - crash.sentMs(key))));
    addSuccess(update, key, nowMs);
  }

  private static EndpointCrash message(Crash crash, String service, long nowMs) {
    return EndpointCrash.newBuilder()
        .setService(service)
        .setEndpoint(crash.endpoint().id())
        .setEndpointStartedMs(crash.endpoint().startedMs())
        .setAgeMs(Math.max(0, nowMs - crash.crashedMs()))
        .build();
  }

  /** Returns a report for each service that was called at the endpoint; usually one. */
  private List<EndpointCrash> reportedByService(Crash crash) {
    QuarantineUpdate.Builder all = update();
    long nowMs = clock.nowMs();
    crash.suspects().forEach((key, sentMs) -> addSuspect(all, crash, key, nowMs));
    return all.getCrashList();
  }

  private void sendSuccess(Fingerprint key) {
    QuarantineUpdate.Builder update = update();
    addSuccess(update, key, clock.nowMs());
    judges(key).forEach(judge -> sendToJudge(judge, update.build()));
  }

  private void addSuccess(QuarantineUpdate.Builder update, Fingerprint key, long nowMs) {
    Long succeededMs = successMs(key);
    if (succeededMs != null) {
      update.addSuccess(
          PartSuccess.newBuilder()
              .setService(key.service())
              .setPart(key.id())
              .setAgeMs(Math.max(0, nowMs - succeededMs)));
    }
  }

  private void sendToJudge(String judge, QuarantineUpdate update) {
    if (judge.equals(peers.self())) {
      onUpdate(judge, update);
    } else {
      peers.send(judge, update);
    }
  }

  private void announce(Fingerprint key, PartVerdict verdict) {
    if (!verdict.getQuarantined()) {
      clear(key);
    }
    sendVerdict(verdict);
    verdictResends.add(key);
    listener.onVerdict(verdict, evidence(key));
  }

  /** Sends a verdict, with the crashes that it explains, to all other nodes. */
  private void sendVerdict(PartVerdict verdict) {
    List<EndpointCrash> explained = verdict.getQuarantined() ? evidence(key(verdict)) : List.of();
    peers.sendToAll(update().addVerdict(verdict).addAllCrash(explained).build());
    onExplained(key(verdict), explained, clock.nowMs());
  }

  /** Returns the crashes that a fingerprint explains. */
  private List<EndpointCrash> evidence(Fingerprint key) {
    long nowMs = clock.nowMs();
    return judgedEvidence.explainedCrashes(key).stream()
        .map(crash -> message(crash, key.service(), nowMs))
        .toList();
  }

  private static QuarantineUpdate.Builder update() {
    return QuarantineUpdate.newBuilder();
  }
}
