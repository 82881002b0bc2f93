package org.currantslip.core.membership;

import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.NodeState;

/** The state that this node tracks for one other node. */
final class Member {
  private static final long NOT_SUSPECTED = Long.MIN_VALUE;

  /** Keeps the ages of signs of life that were never seen far beyond all limits. */
  private static final long NEVER_MS = Long.MIN_VALUE / 4;

  /** Later signs of life that others report differ by less through rounding and latency alone. */
  private static final long MIN_NEWER_MS = 200;

  /** A node without a path to endpoints says so again within a third of this time. */
  private static final long MAX_UNREACHABLE_MS = 15_000;

  /** Shortest time after which a repeated statement is passed on. */
  private static final long MIN_REPEAT_MS = 4_000;

  private NodeRecord nodeRecord;
  private final long knownSinceMs;
  private long lastHeardMs = NEVER_MS;
  private NodeReport report = NodeReport.none();
  private long reportMs = NEVER_MS;
  private long suspectedSinceMs = NOT_SUSPECTED;
  private long configVersion;
  private boolean unreachable;
  private long reachAsOfMs;

  private Member(NodeRecord nodeRecord, long knownSinceMs) {
    this.nodeRecord = nodeRecord;
    this.knownSinceMs = knownSinceMs;
  }

  /** Returns a member of which no sign of life is known: its record may be old. */
  static Member of(NodeRecord nodeRecord, long knownSinceMs) {
    return new Member(nodeRecord, knownSinceMs);
  }

  NodeRecord nodeRecord() {
    return nodeRecord;
  }

  long lastHeardMs() {
    return lastHeardMs;
  }

  /** Returns the time since which the member has been silent at this node. */
  long silentSinceMs() {
    return Math.max(lastHeardMs, knownSinceMs);
  }

  NodeReport report() {
    return report;
  }

  long reportMs() {
    return reportMs;
  }

  /** Records what the member said of itself at a time, unless something newer is known. */
  void setReport(NodeReport newReport, long atMs) {
    if (atMs >= reportMs) {
      report = newReport;
      reportMs = atMs;
    }
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

  /** Records that this node heard the member; returns whether that clears a suspicion. */
  boolean markHeard(long atMs) {
    lastHeardMs = Math.max(lastHeardMs, atMs);
    boolean wasSuspected = isSuspected();
    suspectedSinceMs = NOT_SUSPECTED;
    return wasSuspected;
  }

  /**
   * Records that another node heard the member; returns whether that clears a suspicion. Only a
   * sign of life that is newer than what led to the suspicion does.
   */
  boolean markHeardByOther(long atMs) {
    boolean isNewer = atMs >= lastHeardMs + MIN_NEWER_MS;
    lastHeardMs = Math.max(lastHeardMs, atMs);
    return isNewer && markHeard(atMs);
  }

  /** Records the last sign of life that is known to a node that suspects the member. */
  void noteHeardByOther(long atMs) {
    lastHeardMs = Math.max(lastHeardMs, atMs);
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
