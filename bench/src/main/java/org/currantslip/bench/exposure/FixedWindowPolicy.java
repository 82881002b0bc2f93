package org.currantslip.bench.exposure;

import java.util.ArrayDeque;
import java.util.Deque;
import org.currantslip.core.common.RefusalException;
import org.currantslip.core.common.ResultCode;
import org.currantslip.core.config.ConfigView;
import org.currantslip.core.rollout.EvidenceVersionPolicy;
import org.currantslip.core.rollout.VersionChoice;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.core.rollout.VersionQuery;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.EvidenceReport;

/**
 * Baseline policy: each node on its own stops the watched version when too many of its latest
 * outcomes or ratings are bad.
 */
final class FixedWindowPolicy implements VersionPolicy {
  private static final int WINDOW_OUTCOMES = 100;
  private static final int MAX_BAD = 10;
  private static final int MAX_ERRORS = 6;

  private final EvidenceVersionPolicy delegate;
  private final String watchedVersion;
  private final Deque<Boolean> ratings = new ArrayDeque<>();
  private final Deque<Boolean> failures = new ArrayDeque<>();
  private boolean stopped;

  FixedWindowPolicy(EvidenceVersionPolicy delegate, String watchedVersion) {
    this.delegate = delegate;
    this.watchedVersion = watchedVersion;
  }

  boolean stopped() {
    return stopped;
  }

  @Override
  public VersionChoice choose(ConfigView config, VersionQuery query) {
    VersionChoice choice = delegate.choose(config, query);
    if (stopped && choice.version().equals(watchedVersion)) {
      throw RefusalException.notRun(
          ResultCode.NO_VERSION_IN_SERVICE, "version stopped by the fixed-window policy");
    }
    return choice;
  }

  @Override
  public void onDispatched(String model, String version) {}

  @Override
  public void onFinished(String model, String version, boolean failed) {
    stopped |= addOutcome(failures, failed) > MAX_ERRORS;
  }

  @Override
  public void onRated(String model, String version, boolean good) {
    stopped |= addOutcome(ratings, !good) > MAX_BAD;
  }

  /** Adds an outcome to a sliding window and returns the number of bad outcomes in it. */
  private static long addOutcome(Deque<Boolean> window, boolean bad) {
    window.add(bad);
    if (window.size() > WINDOW_OUTCOMES) {
      window.remove();
    }
    return window.stream().filter(isBad -> isBad).count();
  }

  @Override
  public void onEvidence(EvidenceReport report) {}

  @Override
  public void onStopNotice(BrakeNotice notice) {}

  @Override
  public EvidenceReport evidence() {
    return EvidenceReport.getDefaultInstance();
  }
}
