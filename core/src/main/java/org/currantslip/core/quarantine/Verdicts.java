package org.currantslip.core.quarantine;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.currantslip.core.common.Clock;
import org.currantslip.schema.PartVerdict;

/** The verdicts that this node knows. */
final class Verdicts {
  private static final int MAX_VERDICTS = 512;

  /**
   * Time from a verdict to the first trial, and from each failed trial to the next one. Up to half
   * of it is added, so that the trials of parts with the same crashes do not coincide.
   */
  private static final long[] TRIAL_DELAY_MS = {5_000, 15_000, 600_000, 86_400_000};

  /** As above, for a whole request, which may reach few more endpoints after its conviction. */
  private static final long[] REQUEST_TRIAL_DELAY_MS = {15_000, 600_000, 86_400_000};

  private static final long MIN_DOUBLING_MS = 10_000;
  private static final long MAX_DOUBLINGS = 30;
  private static final long MAX_QUARANTINE_MS = 2 * 86_400_000L;
  private static final long MAX_LIFTED_MS = 3_600_000;

  /** Bound on the error of ages, which do not include the time of the message on its way. */
  private static final long AGE_ERROR_MS = 1_000;

  private final Clock clock;
  private final Map<Fingerprint, Verdict> verdicts = RecentMap.ofSize(MAX_VERDICTS);

  private Verdicts(Clock clock) {
    this.clock = clock;
  }

  static Verdicts create(Clock clock) {
    return new Verdicts(clock);
  }

  boolean isQuarantined(Fingerprint key) {
    return find(key).filter(Verdict::quarantined).isPresent();
  }

  /** Returns the time until the next trial of a quarantined part; negative once it is due. */
  long untilTrialMs(Fingerprint key) {
    return find(key).map(v -> v.trialMs(key) - clock.nowMs()).orElse(0L);
  }

  /**
   * Returns how many nodes may run a trial: none before it is due, then one, and twice as many
   * after each further time in which none of these got a request with the part.
   */
  long trialNodes(Fingerprint key) {
    return find(key).map(v -> v.trialNodes(key, clock.nowMs())).orElse(0L);
  }

  /** Returns whether a trial was due so long ago that nodes may get no request that suits it. */
  boolean isTrialLate(Fingerprint key) {
    return find(key).filter(v -> clock.nowMs() - v.trialMs(key) >= v.trialDelayMs(key)).isPresent();
  }

  /** Returns the time at which the newest verdict on the part was reached, if there is one. */
  Optional<Long> reachedMs(Fingerprint key) {
    return find(key).map(Verdict::reachedMs);
  }

  /** Returns the quarantined parts. */
  List<Fingerprint> quarantined() {
    return verdicts.entrySet().stream()
        .filter(e -> e.getValue().quarantined())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Quarantines a part. */
  PartVerdict quarantine(Fingerprint key) {
    return put(key, new Verdict(true, clock.nowMs(), 0));
  }

  /** Records a trial, which counts as failed unless the verdict is lifted. */
  PartVerdict startTrial(Fingerprint key) {
    int failedTrials = find(key).map(Verdict::failedTrials).orElse(0);
    return put(key, new Verdict(true, clock.nowMs(), failedTrials + 1));
  }

  /** Ends the quarantine of a part. */
  PartVerdict lift(Fingerprint key) {
    return put(key, new Verdict(false, clock.nowMs(), 0));
  }

  /** Returns the current verdict as a message. */
  Optional<PartVerdict> message(Fingerprint key) {
    return find(key).map(v -> v.toMessage(key, clock.nowMs()));
  }

  /** Adds a verdict of another node; returns whether it is in force and changes something. */
  boolean merge(PartVerdict message) {
    Fingerprint key = new Fingerprint(message.getService(), message.getPart());
    Verdict received =
        new Verdict(
            message.getQuarantined(),
            clock.nowMs() - message.getAgeMs(),
            message.getFailedTrials());
    Verdict known = find(key).orElse(null);
    if (known != null && !received.supersedes(known)) {
      return false;
    }
    verdicts.put(key, received);
    return true;
  }

  /** Returns all verdicts as messages. */
  Stream<PartVerdict> messages() {
    long nowMs = clock.nowMs();
    return verdicts.entrySet().stream().map(e -> e.getValue().toMessage(e.getKey(), nowMs));
  }

  /** Removes verdicts that are out of date. */
  void expire() {
    long nowMs = clock.nowMs();
    verdicts.values().removeIf(v -> v.isExpired(nowMs));
  }

  private PartVerdict put(Fingerprint key, Verdict verdict) {
    verdicts.put(key, verdict);
    return verdict.toMessage(key, clock.nowMs());
  }

  private Optional<Verdict> find(Fingerprint key) {
    return Optional.ofNullable(verdicts.get(key));
  }

  private record Verdict(boolean quarantined, long reachedMs, int failedTrials) {
    private long trialDelayMs(Fingerprint key) {
      long[] delaysMs = key.isRequest() ? REQUEST_TRIAL_DELAY_MS : TRIAL_DELAY_MS;
      return delaysMs[Math.min(failedTrials, delaysMs.length - 1)];
    }

    private long trialMs(Fingerprint key) {
      long delayMs = trialDelayMs(key);
      return reachedMs + delayMs + Math.floorMod(key.id().hashCode(), delayMs / 2);
    }

    private long trialNodes(Fingerprint key, long nowMs) {
      long overdueMs = nowMs - trialMs(key);
      long doublings = overdueMs / Math.max(MIN_DOUBLING_MS, trialDelayMs(key));
      return overdueMs < 0 ? 0 : 1L << Math.min(MAX_DOUBLINGS, doublings);
    }

    private boolean supersedes(Verdict known) {
      if (quarantined && known.quarantined) {
        return failedTrials > known.failedTrials;
      }
      if (quarantined != known.quarantined) {
        return quarantined
            ? reachedMs > known.reachedMs + AGE_ERROR_MS
            : reachedMs + AGE_ERROR_MS > known.reachedMs;
      }
      return false;
    }

    private boolean isExpired(long nowMs) {
      return nowMs - reachedMs >= (quarantined ? MAX_QUARANTINE_MS : MAX_LIFTED_MS);
    }

    private PartVerdict toMessage(Fingerprint key, long nowMs) {
      return PartVerdict.newBuilder()
          .setService(key.service())
          .setPart(key.id())
          .setQuarantined(quarantined)
          .setAgeMs(Math.max(0, nowMs - reachedMs))
          .setFailedTrials(failedTrials)
          .build();
    }
  }
}
