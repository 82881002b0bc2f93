package org.currantslip.node.poll;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.currantslip.core.burn.BurnRecorder;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.schema.DecisionRecord;

/**
 * Keeps the latest answers of this node, so that a rating can be attributed to the version that
 * gave the answer.
 */
public final class PendingAnswers {
  private static final int MAX_ANSWERS = 1 << 16;

  private final VersionPolicy versionPolicy;
  private final CascadePolicy cascade;
  private final BurnRecorder burnRecorder;
  private final Map<String, DecisionRecord> answersById =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, DecisionRecord> eldest) {
          return size() > MAX_ANSWERS;
        }
      };

  private PendingAnswers(
      VersionPolicy versionPolicy, CascadePolicy cascade, BurnRecorder burnRecorder) {
    this.versionPolicy = versionPolicy;
    this.cascade = cascade;
    this.burnRecorder = burnRecorder;
  }

  /** Creates an empty store of answers. */
  public static PendingAnswers create(
      VersionPolicy versionPolicy, CascadePolicy cascade, BurnRecorder burnRecorder) {
    return new PendingAnswers(versionPolicy, cascade, burnRecorder);
  }

  /** Stores an answer, without the texts of its rules. */
  public void add(DecisionRecord decision) {
    if (!decision.getVersion().isEmpty()) {
      answersById.put(
          decision.getRequestId(), decision.toBuilder().clearRuleText().clearRuleLine().build());
    }
  }

  /** Applies a rating at most once; returns false if the answer is not known to this node. */
  public boolean applyRating(String requestId, boolean good) {
    DecisionRecord decision = answersById.remove(requestId);
    if (decision == null) {
      return false;
    }
    applyRating(decision, good);
    return true;
  }

  /** Applies a rating of an answer given by a node that has left. */
  void applyRating(DecisionRecord decision, boolean good) {
    versionPolicy.onRated(decision.getModel(), decision.getVersion(), good);
    cascade.onRated(
        decision.getAccount(),
        decision.getTask(),
        decision.getModel(),
        OptionalDouble.empty(),
        good);
    burnRecorder.recordRating(decision.getAccount(), decision.getTask(), good);
  }
}
