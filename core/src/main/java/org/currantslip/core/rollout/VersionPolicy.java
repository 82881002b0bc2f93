package org.currantslip.core.rollout;

import org.currantslip.core.config.ConfigView;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.EvidenceReport;

/** Chooses the version of a model for a request, and judges versions by evidence. */
public interface VersionPolicy {
  /**
   * Chooses a version that the rules allow.
   *
   * @throws org.currantslip.core.common.RefusalException if no version may be used
   */
  VersionChoice choose(ConfigView config, VersionQuery query);

  /** Counts a request sent to a version. */
  void dispatched(String model, String version);

  /** Counts the end of a request; {@code failed} when the endpoint answered with an error. */
  void finished(String model, String version, boolean failed);

  /** Counts a rating of an answer. */
  void rated(String model, String version, boolean good);

  /** Takes the evidence of another node. */
  void onEvidence(EvidenceReport report);

  /** Takes another node's decision to stop a version. */
  void onBrake(BrakeNotice notice);

  /** Returns this node's evidence, to be sent to peers. */
  EvidenceReport evidence();
}
