package org.currantslip.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.currantslip.schema.Evidence;
import org.currantslip.schema.NodeId;

/** All evidence about one version: own counters, other nodes' counters and the detectors. */
final class VersionEvidence {
  private static final double[] BAD_RATES = {0.08, 0.20, 0.60};
  private static final double[] ERROR_RATES = {0.05, 0.20, 0.60};

  private static final double NEW_VERSION_MASS = 0.8;

  private final VersionKey key;
  private final RolloutOptions opts;
  private final Evidence.Builder own;
  private final Map<NodeId, Evidence> others = new HashMap<>();
  private BadRateDetector ratings;
  private BadRateDetector errors;
  private long ended;

  /** Starts to judge a version in full service. */
  VersionEvidence(VersionKey key, NodeId self, RolloutOptions opts) {
    this.key = key;
    this.opts = opts;
    own = Evidence.newBuilder().setNode(self).setModel(key.model()).setVersion(key.version());
    ratings = ratingDetector(opts.serviceStageRequests(), 0);
    errors = errorDetector(opts.serviceStageRequests(), 0);
  }

  private BadRateDetector ratingDetector(int stageRequests, double massAtStart) {
    return BadRateDetector.create(
        opts.baseBadRate(), BAD_RATES, opts.falseStop() / 2, stageRequests, massAtStart);
  }

  private BadRateDetector errorDetector(int stageRequests, double massAtStart) {
    return BadRateDetector.create(
        opts.baseErrorRate(), ERROR_RATES, opts.falseStop() / 2, stageRequests, massAtStart);
  }

  /** Starts judging anew, as at the start of a stage of this length. */
  void restart(int stageRequests) {
    ratings = ratingDetector(stageRequests, NEW_VERSION_MASS);
    errors = errorDetector(stageRequests, NEW_VERSION_MASS);
  }

  void dispatched() {
    own.setDispatched(own.getDispatched() + 1);
  }

  void finished(boolean failed) {
    ended++;
    if (failed) {
      own.setErrors(own.getErrors() + 1);
    }
    errors.add(failed ? 0 : 1, failed ? 1 : 0);
  }

  void rated(boolean good) {
    if (good) {
      own.setGood(own.getGood() + 1);
    } else {
      own.setBad(own.getBad() + 1);
    }
    ratings.add(good ? 1 : 0, good ? 0 : 1);
  }

  /** Takes another node's counters; returns whether they hold anything new. */
  boolean merge(Evidence report) {
    Evidence old = others.getOrDefault(report.getNode(), Evidence.getDefaultInstance());
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
    others.put(report.getNode(), merged);
    ratings.add(merged.getGood() - old.getGood(), merged.getBad() - old.getBad());
    long newErrors = merged.getErrors() - old.getErrors();
    long newEnds = merged.getDispatched() - old.getDispatched();
    errors.add(Math.max(0, newEnds - newErrors), newErrors);
    return true;
  }

  Evidence own() {
    return own.build();
  }

  Collection<Evidence> others() {
    return others.values();
  }

  /** Returns own requests of this version that have neither a rating nor an error. */
  long unrated() {
    return own.getDispatched() - own.getGood() - own.getBad() - own.getErrors();
  }

  long ownRatings() {
    return own.getGood() + own.getBad();
  }

  long inFlight() {
    return own.getDispatched() - ended;
  }

  /** Returns the ratings judged since the stage began. */
  long judged() {
    return ratings.good() + ratings.bad();
  }

  /**
   * Returns why the version must be stopped, in words and figures.
   *
   * @param hasFallback whether another version takes its requests; without one, failed requests are
   *     no reason, since a stop would make all of them fail
   */
  Optional<String> stopReason(boolean hasFallback) {
    if (ratings.stopped()) {
      return Optional.of(reason("rated answers bad", ratings, opts.baseBadRate()));
    }
    if (hasFallback && errors.stopped()) {
      return Optional.of(reason("requests failed", errors, opts.baseErrorRate()));
    }
    return Optional.empty();
  }

  private String reason(String what, BadRateDetector test, double base) {
    long all = test.good() + test.bad();
    return String.format(
        Locale.ROOT,
        "%s stopped: %d of %d %s (%.1f%%, accepted %.1f%%), odds %.0f to 1, counters of %d nodes",
        key,
        test.bad(),
        all,
        what,
        100.0 * test.bad() / Math.max(1, all),
        100.0 * base,
        test.odds(),
        1 + others.size());
  }
}
