package org.currantslip.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.currantslip.schema.Evidence;
import org.currantslip.schema.NodeId;

/** Evidence about one version: local counters, counters of peer nodes and the detectors. */
final class VersionEvidence {
  private static final double[] BAD_RATES = {0.08, 0.20, 0.60};
  private static final double[] ERROR_RATES = {0.05, 0.20, 0.60};

  private static final double PRIOR_MASS_AT_STAGE_START = 0.8;

  private final VersionKey key;
  private final RolloutOptions options;
  private final Evidence.Builder local;
  private final Map<NodeId, Evidence> peers = new HashMap<>();
  private BadRateDetector ratingDetector;
  private BadRateDetector errorDetector;
  private long finishedCount;

  /** Creates the evidence for a version in full service. */
  VersionEvidence(VersionKey key, NodeId self, RolloutOptions options) {
    this.key = key;
    this.options = options;
    local = Evidence.newBuilder().setNode(self).setModel(key.model()).setVersion(key.version());
    ratingDetector = newRatingDetector(options.serviceStageRequests(), 0);
    errorDetector = newErrorDetector(options.serviceStageRequests(), 0);
  }

  private BadRateDetector newRatingDetector(int stageRequests, double priorMassAtStart) {
    return BadRateDetector.create(
        options.baseBadRate(),
        BAD_RATES,
        options.falseStopProbability() / 2,
        stageRequests,
        priorMassAtStart);
  }

  private BadRateDetector newErrorDetector(int stageRequests, double priorMassAtStart) {
    return BadRateDetector.create(
        options.baseErrorRate(),
        ERROR_RATES,
        options.falseStopProbability() / 2,
        stageRequests,
        priorMassAtStart);
  }

  /** Resets the detectors for a new stage with this number of requests. */
  void restart(int stageRequests) {
    ratingDetector = newRatingDetector(stageRequests, PRIOR_MASS_AT_STAGE_START);
    errorDetector = newErrorDetector(stageRequests, PRIOR_MASS_AT_STAGE_START);
  }

  void dispatched() {
    local.setDispatched(local.getDispatched() + 1);
  }

  void finished(boolean failed) {
    finishedCount++;
    if (failed) {
      local.setErrors(local.getErrors() + 1);
    }
    errorDetector.add(failed ? 0 : 1, failed ? 1 : 0);
  }

  void rated(boolean good) {
    if (good) {
      local.setGood(local.getGood() + 1);
    } else {
      local.setBad(local.getBad() + 1);
    }
    ratingDetector.add(good ? 1 : 0, good ? 0 : 1);
  }

  /** Merges the counters of a peer node; returns whether they changed. */
  boolean merge(Evidence report) {
    Evidence old = peers.getOrDefault(report.getNode(), Evidence.getDefaultInstance());
    Evidence merged =
        report.toBuilder()
            .setGood(Math.max(old.getGood(), report.getGood()))
            .setBad(Math.max(old.getBad(), report.getBad()))
            .setErrors(Math.max(old.getErrors(), report.getErrors()))
            .setDispatched(Math.max(old.getDispatched(), report.getDispatched()))
            .build();
    if (merged.equals(old)) {
      return false;
    }
    peers.put(report.getNode(), merged);
    ratingDetector.add(merged.getGood() - old.getGood(), merged.getBad() - old.getBad());
    long newErrors = merged.getErrors() - old.getErrors();
    long newDispatched = merged.getDispatched() - old.getDispatched();
    errorDetector.add(Math.max(0, newDispatched - newErrors), newErrors);
    return true;
  }

  Evidence localEvidence() {
    return local.build();
  }

  Collection<Evidence> peerEvidence() {
    return peers.values();
  }

  /** Returns the number of local requests with neither a rating nor an error. */
  long unrated() {
    return local.getDispatched() - local.getGood() - local.getBad() - local.getErrors();
  }

  long localRatings() {
    return local.getGood() + local.getBad();
  }

  long inFlight() {
    return local.getDispatched() - finishedCount;
  }

  /** Returns the number of ratings since the stage began. */
  long ratingsInStage() {
    return ratingDetector.goodCount() + ratingDetector.badCount();
  }

  /**
   * Returns the reason why the version must be stopped, or empty if it need not be.
   *
   * @param hasFallback whether another version can take over its requests; if not, failed requests
   *     are no reason, since after a stop all requests would fail
   */
  Optional<String> stopReason(boolean hasFallback) {
    if (ratingDetector.alarmRaised()) {
      return Optional.of(reason("rated answers bad", ratingDetector, options.baseBadRate()));
    }
    if (hasFallback && errorDetector.alarmRaised()) {
      return Optional.of(reason("requests failed", errorDetector, options.baseErrorRate()));
    }
    return Optional.empty();
  }

  private String reason(String description, BadRateDetector detector, double baseRate) {
    long total = detector.goodCount() + detector.badCount();
    return String.format(
        Locale.ROOT,
        "%s stopped: %d of %d %s (%.1f%%, accepted %.1f%%), odds %.0f to 1, counters of %d nodes",
        key,
        detector.badCount(),
        total,
        description,
        100.0 * detector.badCount() / Math.max(1, total),
        100.0 * baseRate,
        detector.likelihoodRatio(),
        1 + peers.size());
  }
}
