package org.currantslip.core.membership;

import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/** The state that this node tracks for one other node. */
final class Member {
  private static final long NOT_SUSPECTED = Long.MIN_VALUE;

  /** A node without a path to endpoints says so again within a third of this time. */
  private static final long MAX_UNREACHABLE_MS = 15_000;

  /** Shortest time after which a repeated statement is passed on. */
  private static final long MIN_REPEAT_MS = 4_000;

  private NodeRecord nodeRecord;
  private long lastHeardMs;
  private long suspectedSinceMs = NOT_SUSPECTED;
  private long configVersion;
  private boolean unreachable;
  private long reachAsOfMs;

  private Member(NodeRecord nodeRecord, long lastHeardMs) {
    this.nodeRecord = nodeRecord;
    this.lastHeardMs = lastHeardMs;
  }

  static Member of(NodeRecord nodeRecord, long lastHeardMs) {
    return new Member(nodeRecord, lastHeardMs);
  }

  NodeRecord nodeRecord() {
    return nodeRecord;
  }

  long lastHeardMs() {
    return lastHeardMs;
  }

  long configVersion() {
    return configVersion;
  }

  boolean isSuspected() {
    return suspectedSinceMs != NOT_SUSPECTED;
  }

  boolean isGone() {
    return nodeRecord.getState() == NodeState.GONE;
  }

  /** Returns for how long the node has been suspected; zero if it is not suspected. */
  long suspectedForMs(long nowMs) {
    return isSuspected() ? nowMs - suspectedSinceMs : 0;
  }

  boolean isLive(long nowMs, long suspicionMs) {
    return !isGone() && suspectedForMs(nowMs) < Math.max(1, suspicionMs);
  }

  void setConfigVersion(long version) {
    configVersion = Math.max(configVersion, version);
  }

  /** Returns whether the node has said lately that it reaches no endpoint. */
  boolean isUnreachable(long nowMs) {
    return unreachable && nowMs - reachAsOfMs < MAX_UNREACHABLE_MS;
  }

  /** Returns until when {@link #isUnreachable} holds without news; no limit if it does not hold. */
  long unreachableUntilMs(long nowMs) {
    return isUnreachable(nowMs) ? reachAsOfMs + MAX_UNREACHABLE_MS : Long.MAX_VALUE;
  }

  /** Returns the time as of which it is known whether the node reaches endpoints. */
  long reachAsOfMs() {
    return reachAsOfMs;
  }

  /**
   * Sets whether the node reaches no endpoint, unless something later is known. Returns whether
   * that must be passed on.
   */
  boolean setUnreachable(boolean next, long asOfMs) {
    if (asOfMs <= reachAsOfMs) {
      return false;
    }
    boolean passOn = unreachable != next || (next && asOfMs - reachAsOfMs >= MIN_REPEAT_MS);
    unreachable = next;
    if (passOn || !next) {
      reachAsOfMs = asOfMs;
    }
    return passOn;
  }

  /** Merges a record unless its incarnation is older; returns whether anything changed. */
  boolean merge(NodeRecord other) {
    long currentIncarnation = nodeRecord.getId().getIncarnation();
    long otherIncarnation = other.getId().getIncarnation();
    if (otherIncarnation < currentIncarnation) {
      return false;
    }
    if (otherIncarnation > currentIncarnation) {
      nodeRecord = other;
      suspectedSinceMs = NOT_SUSPECTED;
      unreachable = false;
      return true;
    }
    if (other.getStateValue() <= nodeRecord.getStateValue()) {
      return false;
    }
    nodeRecord = nodeRecord.toBuilder().setState(other.getState()).build();
    return true;
  }

  /** Records a sign of life; returns whether it clears a suspicion. */
  boolean markHeard(long atMs) {
    lastHeardMs = Math.max(lastHeardMs, atMs);
    boolean wasSuspected = isSuspected();
    suspectedSinceMs = NOT_SUSPECTED;
    return wasSuspected;
  }

  /** Marks the node as suspected; returns whether it was not suspected before. */
  boolean markSuspected(long atMs) {
    if (isSuspected()) {
      return false;
    }
    suspectedSinceMs = atMs;
    return true;
  }
}
