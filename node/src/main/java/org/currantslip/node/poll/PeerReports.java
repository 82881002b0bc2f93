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

/** Sends evidence and demand to a bounded number of other nodes at a time. */
public final class PeerReports {
  private static final long EVERY_MS = 1_000;
  private static final long NEWS_GAP_MS = 100;
  private static final int TARGETS = 5;
  private static final int BRAKE_TARGETS = 16;

  private final Membership membership;
  private final PeerNetwork peers;
  private final VersionPolicy versions;
  private final AdmissionControl admission;
  private final Clock clock;
  private final Interval interval;
  private final Random random;
  private boolean evidenceIsNew;
  private long sentMs;

  private PeerReports(
      Membership membership,
      PeerNetwork peers,
      VersionPolicy versions,
      AdmissionControl admission,
      Clock clock,
      long seed) {
    this.membership = membership;
    this.peers = peers;
    this.versions = versions;
    this.admission = admission;
    this.clock = clock;
    interval = Interval.of(clock, EVERY_MS);
    random = new Random(seed);
  }

  /** Returns reports to peers that are picked anew each time. */
  public static PeerReports create(
      Membership membership,
      PeerNetwork peers,
      VersionPolicy versions,
      AdmissionControl admission,
      Clock clock,
      long seed) {
    return new PeerReports(membership, peers, versions, admission, clock, seed);
  }

  /** Sends reports when they are due. */
  public void tick() {
    boolean news = evidenceIsNew && clock.nowMs() - sentMs >= NEWS_GAP_MS;
    if (!news && !interval.begin()) {
      return;
    }
    if (!news) {
      interval.end();
    }
    evidenceIsNew = false;
    sentMs = clock.nowMs();
    PeerFrame evidence = PeerFrame.newBuilder().setEvidence(versions.evidence()).build();
    PeerFrame demand = PeerFrame.newBuilder().setDemand(admission.demand()).build();
    for (String name : pick(TARGETS)) {
      peers.send(name, evidence);
      peers.send(name, demand);
    }
  }

  /** Sends the evidence to peers before it is due, since a bad outcome was seen. */
  public void evidenceSoon() {
    evidenceIsNew = true;
  }

  /** Tells many peers at once that this node stopped a version; evidence carries it on. */
  public void brake(BrakeNotice notice) {
    PeerFrame frame = PeerFrame.newBuilder().setBrake(notice).build();
    pick(BRAKE_TARGETS).forEach(name -> peers.send(name, frame));
  }

  private List<String> pick(int count) {
    String self = membership.self().getId().getName();
    List<NodeRecord> live = membership.live();
    List<String> picked = new ArrayList<>();
    int start = live.isEmpty() ? 0 : random.nextInt(live.size());
    int step = live.size() <= count + 1 ? 1 : 1 + random.nextInt(live.size() / (count + 1));
    for (int i = 0; i < live.size() && picked.size() < count; i++) {
      String name = live.get((start + i * step) % live.size()).getId().getName();
      if (!name.equals(self) && !picked.contains(name)) {
        picked.add(name);
      }
    }
    return picked;
  }
}
