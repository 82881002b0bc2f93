package org.currantslip.core.membership;

import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/** What is known of one other node. */
final class Member {
  private static final long NEVER = Long.MIN_VALUE;

  private NodeRecord rec;
  private long heardMs;
  private long suspectedMs = NEVER;
  private long configVersion;

  private Member(NodeRecord rec, long heardMs) {
    this.rec = rec;
    this.heardMs = heardMs;
  }

  static Member of(NodeRecord rec, long heardMs) {
    return new Member(rec, heardMs);
  }

  NodeRecord rec() {
    return rec;
  }

  long heardMs() {
    return heardMs;
  }

  long configVersion() {
    return configVersion;
  }

  boolean isSuspected() {
    return suspectedMs != NEVER;
  }

  boolean isGone() {
    return rec.getState() == NodeState.GONE;
  }

  /** Returns for how long the node has been suspected, zero when it is not. */
  long suspectedForMs(long nowMs) {
    return isSuspected() ? nowMs - suspectedMs : 0;
  }

  boolean isLive(long nowMs, long suspicionMs) {
    return !isGone() && suspectedForMs(nowMs) < Math.max(1, suspicionMs);
  }

  void setConfigVersion(long version) {
    configVersion = Math.max(configVersion, version);
  }

  /** Takes a record of the same or a later incarnation; returns whether it says anything new. */
  boolean merge(NodeRecord other) {
    long mine = rec.getId().getIncarnation();
    long theirs = other.getId().getIncarnation();
    if (theirs < mine) {
      return false;
    }
    if (theirs > mine) {
      rec = other;
      suspectedMs = NEVER;
      return true;
    }
    if (other.getStateValue() <= rec.getStateValue()) {
      return false;
    }
    rec = rec.toBuilder().setState(other.getState()).build();
    return true;
  }

  /** Notes a sign of life; returns whether it ends a suspicion. */
  boolean heard(long atMs) {
    heardMs = Math.max(heardMs, atMs);
    boolean ended = isSuspected();
    suspectedMs = NEVER;
    return ended;
  }

  /** Notes a suspicion; returns whether it is new. */
  boolean suspect(long atMs) {
    if (isSuspected()) {
      return false;
    }
    suspectedMs = atMs;
    return true;
  }
}
