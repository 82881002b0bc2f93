package org.currantslip.bench.membership;

import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import org.currantslip.bench.Bench;
import org.currantslip.bench.ResultTable;
import org.currantslip.core.membership.HeartbeatMembership;

/** Cost a node and speed of news at several fleet sizes, beside a full mesh. */
public final class MembershipBench implements Bench {
  private static final int[] SIZES = {6, 24, 102, 420};
  private static final int DOMAINS = 17;
  private static final long STEADY_MS = 120_000;
  private static final long LIMIT_MS = 120_000;
  private static final double MS_PER_S = 1_000;
  private static final double NS_PER_S = 1e9;
  private static final double LOSS_SHARE = 0.01;
  private static final int TCP_IP_BYTES = 52;
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
    ResultTable speed =
        ResultTable.of(
            "membership: milliseconds until all nodes know, and living nodes lost",
            "nodes",
            "all joined",
            "one more joined",
            "one leaving",
            "one killed",
            "marked gone",
            "lost wrongly in 120 s at 1% frame loss");
    for (int size : SIZES) {
      measure(size, seed, cost, speed);
    }
    return List.of(cost, speed);
  }

  private static void measure(int size, long seed, ResultTable cost, ResultTable speed) {
    SimFleet fleet = new SimFleet(DOMAINS, seed);
    for (int i = 0; i < size; i++) {
      fleet.start(i);
    }
    final long joined = fleet.runUntil(m -> m.entryNodes().size() == size, LIMIT_MS);
    fleet.run(STEADY_MS);
    addCost(size, fleet, cost);

    fleet.start(size);
    final long oneMore = fleet.runUntil(m -> m.entryNodes().size() == size + 1, LIMIT_MS);
    fleet.run(STEADY_MS);
    fleet.at(1).startLeaving();
    long leaving = fleet.runUntil(m -> m.entryNodes().size() == size, LIMIT_MS);
    fleet.run(STEADY_MS);
    var victim = fleet.at(2).self().getId();
    fleet.kill(2);
    long killed = fleet.runUntil(m -> m.live().size() == size, LIMIT_MS);
    long gone = fleet.runUntil(m -> m.isGone(victim), LIMIT_MS);
    speed.add(size, joined, oneMore, leaving, killed, killed + gone, lostWrongly(fleet, size));
  }

  private static void addCost(int size, SimFleet fleet, ResultTable cost) {
    long frames = fleet.frames();
    long bytes = fleet.bytes();
    long reads = fleet.store().reads();
    long readBytes = fleet.store().readBytes();
    long writes = fleet.store().writes();
    long cpuNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    fleet.run(STEADY_MS);
    double nodeSeconds = size * STEADY_MS / MS_PER_S;
    double usedNs = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - cpuNs;
    double sent = (fleet.frames() - frames) / nodeSeconds;
    double sentBytes = (fleet.bytes() - bytes) / nodeSeconds;
    cost.add(
        size,
        sent,
        sentBytes,
        sentBytes + sent * TCP_IP_BYTES,
        TARGET_BYTES_PER_S,
        4.0 * (size - 1),
        (fleet.store().reads() - reads) / nodeSeconds,
        (fleet.store().readBytes() - readBytes) / nodeSeconds,
        (fleet.store().writes() - writes) / nodeSeconds,
        usedNs / NS_PER_S / nodeSeconds);
  }

  /** Counts, over all nodes and half seconds, living nodes that were believed dead. */
  private static long lostWrongly(SimFleet fleet, int expected) {
    fleet.setLossShare(LOSS_SHARE);
    long lost = 0;
    for (long ms = 0; ms < STEADY_MS; ms += 500) {
      fleet.run(500);
      lost +=
          fleet.running().stream()
              .map(HeartbeatMembership::live)
              .mapToLong(live -> expected - live.size())
              .sum();
    }
    return lost;
  }
}
