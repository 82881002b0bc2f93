package org.currantslip.bench.membership;

import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import org.currantslip.bench.Bench;
import org.currantslip.bench.ResultTable;
import org.currantslip.core.membership.HeartbeatMembership;

/**
 * Measures the cost per node and the propagation time of membership changes for several fleet
 * sizes; the frame rate of a full mesh is computed for comparison.
 */
public final class MembershipBench implements Bench {
  private static final int[] FLEET_SIZES = {6, 24, 102, 420};
  private static final int FAILURE_DOMAINS = 17;
  private static final long STEADY_STATE_MS = 120_000;
  private static final long MAX_WAIT_MS = 120_000;
  private static final double MS_PER_S = 1_000;
  private static final double NS_PER_S = 1e9;
  private static final double FRAME_LOSS_RATE = 0.01;
  private static final int TCP_IP_HEADER_BYTES = 52;
  private static final long TARGET_BYTES_PER_S = 13_000;

  private MembershipBench() {}

  /** Returns the experiment. */
  public static MembershipBench create() {
    return new MembershipBench();
  }

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public List<ResultTable> run(long seed, Path outDir) {
    ResultTable cost =
        ResultTable.of(
            "membership: cost a node and second, nothing happening",
            "nodes",
            "frames sent",
            "bytes sent",
            "with TCP/IP headers",
            "bytes target",
            "frames sent, full mesh",
            "store reads",
            "store bytes read",
            "store writes",
            "processor share of a core");
    ResultTable latency =
        ResultTable.of(
            "membership: milliseconds until all nodes know, and living nodes lost",
            "nodes",
            "all joined",
            "one more joined",
            "one leaving",
            "one killed",
            "marked gone",
            "lost wrongly in 120 s at 1% frame loss");
    for (int size : FLEET_SIZES) {
      measure(size, seed, cost, latency);
    }
    return List.of(cost, latency);
  }

  private static void measure(int size, long seed, ResultTable cost, ResultTable latency) {
    SimFleet fleet = new SimFleet(FAILURE_DOMAINS, seed);
    for (int i = 0; i < size; i++) {
      fleet.start(i);
    }
    final long joinedMs =
        fleet.runUntil(membership -> membership.entryNodes().size() == size, MAX_WAIT_MS);
    fleet.run(STEADY_STATE_MS);
    addCost(size, fleet, cost);

    fleet.start(size);
    final long oneMoreMs =
        fleet.runUntil(membership -> membership.entryNodes().size() == size + 1, MAX_WAIT_MS);
    fleet.run(STEADY_STATE_MS);
    fleet.nodeAt(1).startLeaving();
    long leavingMs =
        fleet.runUntil(membership -> membership.entryNodes().size() == size, MAX_WAIT_MS);
    fleet.run(STEADY_STATE_MS);
    var killedId = fleet.nodeAt(2).self().getId();
    fleet.kill(2);
    long killedMs = fleet.runUntil(membership -> membership.live().size() == size, MAX_WAIT_MS);
    long goneMs = fleet.runUntil(membership -> membership.isGone(killedId), MAX_WAIT_MS);
    latency.add(
        size,
        joinedMs,
        oneMoreMs,
        leavingMs,
        killedMs,
        killedMs + goneMs,
        countFalseLosses(fleet, size));
  }

  private static void addCost(int size, SimFleet fleet, ResultTable cost) {
    long framesBefore = fleet.framesSent();
    long bytesBefore = fleet.bytesSent();
    long readsBefore = fleet.store().reads();
    long readBytesBefore = fleet.store().readBytes();
    long writesBefore = fleet.store().writes();
    long cpuNsBefore = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    fleet.run(STEADY_STATE_MS);
    double nodeSeconds = size * STEADY_STATE_MS / MS_PER_S;
    double usedCpuNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuNsBefore;
    double framesPerS = (fleet.framesSent() - framesBefore) / nodeSeconds;
    double bytesPerS = (fleet.bytesSent() - bytesBefore) / nodeSeconds;
    cost.add(
        size,
        framesPerS,
        bytesPerS,
        bytesPerS + framesPerS * TCP_IP_HEADER_BYTES,
        TARGET_BYTES_PER_S,
        4.0 * (size - 1),
        (fleet.store().reads() - readsBefore) / nodeSeconds,
        (fleet.store().readBytes() - readBytesBefore) / nodeSeconds,
        (fleet.store().writes() - writesBefore) / nodeSeconds,
        usedCpuNs / NS_PER_S / nodeSeconds);
  }

  /**
   * Counts live nodes that are missing from the view of a node under frame loss, summed over all
   * nodes and over one sample every half second.
   */
  private static long countFalseLosses(SimFleet fleet, int expectedLive) {
    fleet.setFrameLossRate(FRAME_LOSS_RATE);
    long falseLosses = 0;
    for (long ms = 0; ms < STEADY_STATE_MS; ms += 500) {
      fleet.run(500);
      falseLosses +=
          fleet.running().stream()
              .map(HeartbeatMembership::live)
              .mapToLong(live -> expectedLive - live.size())
              .sum();
    }
    return falseLosses;
  }
}
