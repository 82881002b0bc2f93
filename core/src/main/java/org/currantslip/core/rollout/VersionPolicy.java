package org.currantslip.core.rollout;

import org.currantslip.core.config.ConfigView;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.EvidenceReport;

/** Chooses the model version for a request and evaluates versions based on evidence. */
public interface VersionPolicy {
  /**
   * Chooses a version permitted by the rules.
   *
   * @throws org.currantslip.core.common.RefusalException if no version may be used
   */
  VersionChoice choose(ConfigView config, VersionQuery query);

  /** Records a request sent to a version. */
  void onDispatched(String model, String version);

  /** Records the end of a request; {@code failed} if the endpoint returned an error. */
  void onFinished(String model, String version, boolean failed);

  /** Records a rating of an answer. */
  void onRated(String model, String version, boolean good);

  /** Merges the evidence of another node. */
  void onEvidence(EvidenceReport report);

  /** Applies the decision of another node to stop a version. */
  void onStopNotice(BrakeNotice notice);

  /** Returns the evidence known to this node, to send to peers. */
  EvidenceReport evidence();
}
