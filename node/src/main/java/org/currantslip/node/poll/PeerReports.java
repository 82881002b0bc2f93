package org.currantslip.node.poll;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.currantslip.core.common.Clock;
import org.currantslip.core.limits.AdmissionControl;
import org.currantslip.core.membership.Membership;
import org.currantslip.core.port.PeerNetwork;
import org.currantslip.core.rollout.VersionPolicy;
import org.currantslip.schema.BrakeNotice;
import org.currantslip.schema.NodeRecord;
import org.currantslip.schema.PeerFrame;

/** Sends rollout evidence and account demand to a bounded number of random peers at a time. */
public final class PeerReports {
  private static final long INTERVAL_MS = 1_000;
  private static final long MIN_EVIDENCE_GAP_MS = 100;
  private static final int PEERS_PER_REPORT = 5;
  private static final int PEERS_PER_BRAKE = 16;

  private final Membership membership;
  private final PeerNetwork peers;
  private final VersionPolicy versionPolicy;
  private final AdmissionControl admission;
  private final Clock clock;
  private final PollSchedule schedule;
  private final Random random;
  private boolean evidenceRequested;
  private long lastSentMs;

  private PeerReports(
      Membership membership,
      PeerNetwork peers,
      VersionPolicy versionPolicy,
      AdmissionControl admission,
      Clock clock,
      long seed) {
    this.membership = membership;
    this.peers = peers;
    this.versionPolicy = versionPolicy;
    this.admission = admission;
    this.clock = clock;
    schedule = PollSchedule.of(clock, INTERVAL_MS);
    random = new Random(seed);
  }

  /** Creates a reporter that selects new random peers for each report. */
  public static PeerReports create(
      Membership membership,
      PeerNetwork peers,
      VersionPolicy versionPolicy,
      AdmissionControl admission,
      Clock clock,
      long seed) {
    return new PeerReports(membership, peers, versionPolicy, admission, clock, seed);
  }

  /** Sends reports when they are due. */
  public void tick() {
    boolean urgent = evidenceRequested && clock.nowMs() - lastSentMs >= MIN_EVIDENCE_GAP_MS;
    if (!urgent && !schedule.tryStart()) {
      return;
    }
    if (!urgent) {
      schedule.finish();
    }
    evidenceRequested = false;
    lastSentMs = clock.nowMs();
    PeerFrame evidence = PeerFrame.newBuilder().setEvidence(versionPolicy.evidence()).build();
    PeerFrame demand = PeerFrame.newBuilder().setDemand(admission.localDemand()).build();
    for (String name : selectPeers(PEERS_PER_REPORT)) {
      peers.send(name, evidence);
      peers.send(name, demand);
    }
  }

  /**
   * Requests that evidence is sent before the next interval, because a bad outcome was observed.
   */
  public void requestEvidenceReport() {
    evidenceRequested = true;
  }

  /**
   * Notifies many peers at once that this node stopped a version; evidence spreads it to the rest.
   */
  public void sendStopNotice(BrakeNotice notice) {
    PeerFrame frame = PeerFrame.newBuilder().setBrake(notice).build();
    selectPeers(PEERS_PER_BRAKE).forEach(name -> peers.send(name, frame));
  }

  private List<String> selectPeers(int count) {
    String self = membership.self().getId().getName();
    List<NodeRecord> live = membership.live();
    List<String> selected = new ArrayList<>();
    int start = live.isEmpty() ? 0 : random.nextInt(live.size());
    int step = live.size() <= count + 1 ? 1 : 1 + random.nextInt(live.size() / (count + 1));
    for (int i = 0; i < live.size() && selected.size() < count; i++) {
      String name = live.get((start + i * step) % live.size()).getId().getName();
      if (!name.equals(self) && !selected.contains(name)) {
        selected.add(name);
      }
    }
    return selected;
  }
}
