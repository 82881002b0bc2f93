package org.currantslip.node.poll;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.currantslip.core.burn.BurnRecorder;
import org.currantslip.core.cascade.CascadePolicy;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.schema.DecisionRecord;

/** Remembers this node's last answers, so that a rating finds the version it is about. */
public final class RatedAnswers {
  private static final int MAX_ANSWERS = 1 << 16;

  private final VersionPolicy versions;
  private final CascadePolicy cascade;
  private final BurnRecorder burn;
  private final Map<String, DecisionRecord> answers =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, DecisionRecord> eldest) {
          return size() > MAX_ANSWERS;
        }
      };

  private RatedAnswers(VersionPolicy versions, CascadePolicy cascade, BurnRecorder burn) {
    this.versions = versions;
    this.cascade = cascade;
    this.burn = burn;
  }

  /** Returns a memory without answers. */
  public static RatedAnswers create(
      VersionPolicy versions, CascadePolicy cascade, BurnRecorder burn) {
    return new RatedAnswers(versions, cascade, burn);
  }

  /** Remembers an answer, without the texts of its rules. */
  public void answered(DecisionRecord rec) {
    if (!rec.getVersion().isEmpty()) {
      answers.put(rec.getRequestId(), rec.toBuilder().clearRuleText().clearRuleLine().build());
    }
  }

  /** Counts a rating once; returns false when the answer is not known here. */
  public boolean rated(String requestId, boolean good) {
    DecisionRecord rec = answers.remove(requestId);
    if (rec == null) {
      return false;
    }
    count(rec, good);
    return true;
  }

  /** Counts a rating of an answer given by a node that is gone. */
  void count(DecisionRecord rec, boolean good) {
    versions.rated(rec.getModel(), rec.getVersion(), good);
    cascade.rated(rec.getAccount(), rec.getTask(), rec.getModel(), OptionalDouble.empty(), good);
    burn.rated(rec.getAccount(), rec.getTask(), good);
  }
}
