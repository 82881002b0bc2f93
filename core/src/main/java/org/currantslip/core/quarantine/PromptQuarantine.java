package org.currantslip.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.currantslip.core.common.Clock;
import org.currantslip.core.route.PromptPart;
import org.currantslip.schema.EndpointCrash;
import org.currantslip.schema.PartSuccess;
import org.currantslip.schema.PartVerdict;
import org.currantslip.schema.QuarantineUpdate;
import org.currantslip.schema.SuspectPart;

/**
 * Finds prompt parts under which endpoints crash, and keeps requests with such a part from being
 * sent to further endpoints.
 *
 * <p>Each node reports the crashes it sees to the judges of the suspected parts. A judge that finds
 * that a part makes endpoints crash announces this to all nodes. From time to time a single request
 * is let through, and its success ends the quarantine.
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

  /** Time for which a node must have seen answers of a service to have seen most of its parts. */
  private static final long WARM_UP_MS = 5_000;

  /** Time from the first crash under a part within which a success of it is awaited. */
  private static final long MAX_AWAITED_MS = 1_500;

  private static final long MIN_RETRY_AFTER_MS = 1_000;
  private static final long MIN_SUCCESS_INTERVAL_MS = 300;

  private final Clock clock;
  private final QuarantinePeers peers;
  private final CrashDetector detector;
  private final PartEvidence ownEvidence = PartEvidence.create();
  private final PartEvidence judgedEvidence = PartEvidence.create();
  private final PartVerdicts verdicts;
  private final Map<PartKey, Long> successMs = RecentMap.ofSize(MAX_SUCCESSES);
  private final Map<PartKey, Long> reportedMs = RecentMap.ofSize(MAX_REPORTED);
  private final Map<PartKey, Long> successSentMs = RecentMap.ofSize(MAX_REPORTED);
  private final Map<String, Long> firstSuccessMs = RecentMap.ofSize(MAX_SERVICES);

  /** Parts of trials that this node started, but that did not reach an endpoint. */
  private final Set<PartKey> unusedTrials = new HashSet<>();

  /** Parts whose verdict waits for successes of other requests. */
  private final Set<PartKey> undecided = new LinkedHashSet<>();

  private final Resends<Crash> crashResends;
  private final Resends<PartKey> successResends;
  private final Resends<PartKey> verdictResends;
  private QuarantineListener listener = QuarantineListener.none();

  private PromptQuarantine(Clock clock, QuarantinePeers peers) {
    this.clock = clock;
    this.peers = peers;
    detector = CrashDetector.create(clock);
    verdicts = PartVerdicts.create(clock);
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
  public Admission check(String service, List<PromptPart> prompt) {
    List<PartKey> quarantined =
        PartKey.sharedParts(service, prompt).filter(verdicts::isQuarantined).toList();
    if (quarantined.isEmpty()) {
      return Admission.send();
    }
    long untilTrialMs = quarantined.stream().mapToLong(verdicts::untilTrialMs).max().orElse(0);
    return mayRunTrial(quarantined)
        ? Admission.sendAsTrial()
        : Admission.refuse(Math.max(MIN_RETRY_AFTER_MS, untilTrialMs));
  }

  /**
   * Returns whether a request with these parts may be sent as a trial of them. A request with
   * several of them may fail because of another one, so it waits for those with a single one.
   */
  private boolean mayRunTrial(List<PartKey> quarantined) {
    return quarantined.stream()
            .allMatch(key -> quarantined.size() == 1 || verdicts.isTrialLate(key))
        && quarantined.stream()
            .min(Comparator.comparing(PartKey::part))
            .filter(this::mayRunTrial)
            .isPresent();
  }

  private boolean mayRunTrial(PartKey key) {
    if (unusedTrials.contains(key) && verdicts.untilTrialMs(key) > 0) {
      return true;
    }
    long trialNodes = verdicts.trialNodes(key);
    return trialNodes > 0
        && peers.rankedNodes(key.service(), key.part()).stream()
            .limit(trialNodes)
            .anyMatch(peers.self()::equals);
  }

  private List<String> judges(PartKey key) {
    return peers.rankedNodes(key.service(), key.part()).stream().limit(JUDGES).toList();
  }

  /**
   * Records that a request is sent to an endpoint. The call is to be ended by {@link #onBroken},
   * {@link #onEnded}, {@link #onNotSent} or {@link #onAbandoned}.
   */
  public PromptCall onSent(String service, List<PromptPart> prompt, EndpointInstance endpoint) {
    List<PartKey> parts = PartKey.sharedParts(service, prompt).toList();
    PromptCall call = PromptCall.of(endpoint, parts, clock.nowMs());
    detector.onSent(call);
    parts.stream().filter(verdicts::isQuarantined).forEach(key -> startTrial(key, call));
    return call;
  }

  private void startTrial(PartKey key, PromptCall call) {
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

  private void onSuccess(PartKey key) {
    long nowMs = clock.nowMs();
    successMs.put(key, nowMs);
    firstSuccessMs.putIfAbsent(key.service(), nowMs);
    boolean awaited = reportedMs.remove(key) != null || verdicts.isQuarantined(key);
    if (awaited && isSuccessDue(key, nowMs)) {
      successSentMs.put(key, nowMs);
      sendSuccess(key);
      successResends.add(key);
    }
  }

  private boolean isSuccessDue(PartKey key, long nowMs) {
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
      call.parts().stream().filter(verdicts::isQuarantined).forEach(unusedTrials::add);
    }
  }

  /** Records that the router gave up a call, on which the endpoint may still be at work. */
  public void onAbandoned(PromptCall call) {
    detector.onAbandoned(call);
  }

  /**
   * Returns whether a request may be sent again after a call of it broke without progress. One
   * without shared parts always may.
   *
   * @param crashes number of calls of this request that broke without progress
   */
  public boolean mayRepeat(String service, List<PromptPart> prompt, int crashes) {
    List<PartKey> parts = PartKey.sharedParts(service, prompt).toList();
    Predicate<PartKey> suspected =
        key -> !successMs.containsKey(key) && ownEvidence.crashCount(key) >= MAX_CRASHES_TO_REPEAT;
    return parts.isEmpty()
        || (crashes < MAX_CRASHES_PER_REQUEST
            && parts.stream().noneMatch(suspected.or(verdicts::isQuarantined)));
  }

  /** Handles a message of another node. */
  public void onUpdate(String fromNode, QuarantineUpdate update) {
    long nowMs = clock.nowMs();
    update
        .getSuccessList()
        .forEach(s -> judgeSuccess(new PartKey(s.getService(), s.getPart()), nowMs - s.getAgeMs()));
    update.getCrashList().stream()
        .filter(crash -> crash.getPartCount() > 0)
        .forEach(crash -> judgeCrash(fromNode, crash, nowMs));
    onExplained(
        update.getCrashList().stream().filter(crash -> crash.getPartCount() == 0).toList(), nowMs);
    update.getVerdictList().forEach(verdict -> onVerdict(fromNode, verdict));
  }

  /** Lifts the verdicts of this node that do not hold since other parts explain the crashes. */
  private void onExplained(List<EndpointCrash> crashes, long nowMs) {
    if (crashes.isEmpty()) {
      return;
    }
    List<PartKey> convicted =
        verdicts.quarantined().stream().filter(judgedEvidence::isConvicted).toList();
    crashes.forEach(
        c ->
            judgedEvidence.addExplained(
                new EndpointInstance(c.getEndpoint(), c.getEndpointStartedMs()),
                nowMs - c.getAgeMs()));
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
              PartKey key = new PartKey(crash.getService(), part.getId());
              judgedEvidence.addCrash(
                  key, endpoint, nowMs - crash.getAgeMs(), nowMs - part.getSentAgeMs());
              judge(key);
              if (verdicts.isQuarantined(key)) {
                sendVerdictTo(fromNode, key);
              }
            });
  }

  private void judge(PartKey key) {
    Long ownSuccessMs = successMs.get(key);
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
  private boolean isSuccessAwaited(PartKey key) {
    long nowMs = clock.nowMs();
    Long firstMs = firstSuccessMs.get(key.service());
    boolean warm = firstMs != null && nowMs - firstMs >= WARM_UP_MS;
    return !warm && nowMs - judgedEvidence.firstCrashMs(key) < MAX_AWAITED_MS;
  }

  private void judgeSuccess(PartKey key, long succeededMs) {
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
    PartKey key = new PartKey(verdict.getService(), verdict.getPart());
    if (verdicts.merge(verdict)) {
      if (!verdict.getQuarantined()) {
        clear(key);
      } else if (successMs.containsKey(key)) {
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

  private void sendVerdictTo(String node, PartKey key) {
    if (!node.equals(peers.self())) {
      verdicts.message(key).ifPresent(v -> peers.send(node, update().addVerdict(v).build()));
    }
  }

  private void clear(PartKey key) {
    verdicts
        .reachedMs(key)
        .ifPresent(
            liftedMs -> {
              judgedEvidence.addSuccess(key, liftedMs);
              ownEvidence.addSuccess(key, liftedMs);
            });
  }

  /** Returns the verdicts by which the parts of a prompt are quarantined. */
  public List<PartVerdict> verdicts(String service, List<PromptPart> prompt) {
    return PartKey.sharedParts(service, prompt)
        .filter(verdicts::isQuarantined)
        .flatMap(key -> verdicts.message(key).stream())
        .toList();
  }

  /** Returns the number of quarantined parts. */
  public int quarantinedCount() {
    return verdicts.quarantined().size();
  }

  /** Returns the verdicts for a node to which the link was opened. */
  public QuarantineUpdate snapshot() {
    return update().addAllVerdict(verdicts.messages().toList()).build();
  }

  /** Reports crashes and sends messages again. To be called every few hundredths of a second. */
  public void tick() {
    detector.poll().forEach(this::report);
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
   * Returns the parts to report. Those that were never answered come first; the others are left out
   * if a quarantined part explains the crash.
   */
  private List<PartKey> suspectsToReport(Crash crash) {
    boolean explained = crash.suspects().keySet().stream().anyMatch(verdicts::isQuarantined);
    return crash.suspects().keySet().stream()
        .filter(key -> !explained || !successMs.containsKey(key))
        .sorted(Comparator.comparing(successMs::containsKey))
        .limit(MAX_SUSPECTS)
        .toList();
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

  private void addSuspect(QuarantineUpdate.Builder update, Crash crash, PartKey key, long nowMs) {
    update.getCrashBuilderList().stream()
        .filter(c -> c.getService().equals(key.service()))
        .findFirst()
        .orElseGet(() -> update.addCrashBuilder().mergeFrom(message(crash, key.service(), nowMs)))
        .addPart(
            SuspectPart.newBuilder()
                .setId(key.part())
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

  private void sendSuccess(PartKey key) {
    QuarantineUpdate.Builder update = update();
    addSuccess(update, key, clock.nowMs());
    judges(key).forEach(judge -> sendToJudge(judge, update.build()));
  }

  private void addSuccess(QuarantineUpdate.Builder update, PartKey key, long nowMs) {
    Long succeededMs = successMs.get(key);
    if (succeededMs != null) {
      update.addSuccess(
          PartSuccess.newBuilder()
              .setService(key.service())
              .setPart(key.part())
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

  private void announce(PartKey key, PartVerdict verdict) {
    if (!verdict.getQuarantined()) {
      clear(key);
    }
    sendVerdict(verdict);
    verdictResends.add(key);
    listener.onVerdict(verdict, evidence(key));
  }

  /** Sends a verdict, with the crashes that it explains, to all other nodes. */
  private void sendVerdict(PartVerdict verdict) {
    List<EndpointCrash> explained =
        verdict.getQuarantined()
            ? evidence(new PartKey(verdict.getService(), verdict.getPart()))
            : List.of();
    peers.sendToAll(update().addVerdict(verdict).addAllCrash(explained).build());
    onExplained(explained, clock.nowMs());
  }

  /** Returns the crashes that a part explains. */
  private List<EndpointCrash> evidence(PartKey key) {
    long nowMs = clock.nowMs();
    return judgedEvidence.explainedCrashes(key).stream()
        .map(crash -> message(crash, key.service(), nowMs))
        .toList();
  }

  private static QuarantineUpdate.Builder update() {
    return QuarantineUpdate.newBuilder();
  }
}
