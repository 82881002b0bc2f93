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

/** Baseline: a node stops the new version when its last outcomes hold too many bad ones. */
final class FixedWindowPolicy implements VersionPolicy {
  private static final int WINDOW = 100;
  private static final int MAX_BAD = 10;
  private static final int MAX_ERRORS = 6;

  private final EvidenceVersionPolicy rules;
  private final String watched;
  private final Deque<Boolean> ratings = new ArrayDeque<>();
  private final Deque<Boolean> failures = new ArrayDeque<>();
  private boolean stopped;

  FixedWindowPolicy(EvidenceVersionPolicy rules, String watched) {
    this.rules = rules;
    this.watched = watched;
  }

  boolean stopped() {
    return stopped;
  }

  @Override
  public VersionChoice choose(ConfigView config, VersionQuery query) {
    VersionChoice choice = rules.choose(config, query);
    if (stopped && choice.version().equals(watched)) {
      throw RefusalException.notRun(ResultCode.NO_VERSION_IN_SERVICE, "stopped");
    }
    return choice;
  }

  @Override
  public void onDispatched(String model, String version) {}

  @Override
  public void onFinished(String model, String version, boolean failed) {
    stopped |= add(failures, failed) > MAX_ERRORS;
  }

  @Override
  public void onRated(String model, String version, boolean good) {
    stopped |= add(ratings, !good) > MAX_BAD;
  }

  private static long add(Deque<Boolean> window, boolean bad) {
    window.add(bad);
    if (window.size() > WINDOW) {
      window.remove();
    }
    return window.stream().filter(b -> b).count();
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
