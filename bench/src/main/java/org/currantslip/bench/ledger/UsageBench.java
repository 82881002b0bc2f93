package org.currantslip.bench.ledger;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.currantslip.bench.Bench;
import org.currantslip.bench.ResultTable;
import org.currantslip.core.usage.PeerUsageSpool;
import org.currantslip.core.usage.UsageOptions;
import org.currantslip.core.usage.UsageSpool;
import org.currantslip.schema.PeerFrame;
import org.currantslip.schema.UsageRecord;
import org.currantslip.schema.UsageStage;

/**
 * Measures the store writes and the time until a usage record is safe with copies on two nodes,
 * relative to writing each batch to the store first.
 */
public final class UsageBench implements Bench {
  private static final int[][] LOADS = {{6, 40}, {6, 400}, {24, 400}, {420, 4_000}};
  private static final int FAILURE_DOMAINS = 4;
  private static final int MAX_RECORDS = 16_384;
  private static final long STORE_TIMEOUT_MS = 2_000;
  private static final long STORE_LATENCY_MS = 5;
  private static final long LINK_LATENCY_MS = 1;
  private static final long WARM_UP_MS = 30_000;
  private static final long MEASUREMENT_MS = 60_000;

  private UsageBench() {}

  /** Returns the experiment. */
  public static UsageBench create() {
    return new UsageBench();
  }

  @Override
  public String name() {
    return "usage";
  }

  @Override
  public List<ResultTable> run(long seed, Path outDir) {
    ResultTable table =
        ResultTable.of(
            "usage",
            "way",
            "nodes",
            "requests/s",
            "writes/s",
            "written KB/s",
            "peer KB/s a node",
            "safe p50 ms",
            "safe p99 ms",
            "safe max ms");
    for (int[] load : LOADS) {
      measure(table, "batch first", load[0], load[1], 1, seed);
      measure(table, "two copies", load[0], load[1], FAILURE_DOMAINS, seed);
    }
    return List.of(table);
  }

  /**
   * Measures one row. With a single failure domain no peer may keep copies, so each batch is
   * written to the store before its records count as safe.
   */
  private static void measure(
      ResultTable table,
      String method,
      int nodes,
      int requestsPerS,
      int failureDomains,
      long seed) {
    Simulation simulation = Simulation.create(LINK_LATENCY_MS);
    SimulatedStore store = SimulatedStore.on(simulation, STORE_LATENCY_MS);
    List<UsageSpool> spools = new ArrayList<>();
    for (FixedMembership membership : FixedMembership.createFleet(nodes, failureDomains)) {
      UsageSpool spool =
          PeerUsageSpool.create(
              membership.self(),
              store,
              simulation.network(),
              membership,
              simulation.clock(),
              UsageOptions.of(MAX_RECORDS, STORE_TIMEOUT_MS));
      simulation.addNode(
          membership.self().getId().getName(), spool::tick, frame -> onFrame(spool, frame));
      spools.add(spool);
    }
    UsageLoad load = new UsageLoad(simulation, spools, requestsPerS, seed);
    load.run(WARM_UP_MS);
    store.takeCounts();
    simulation.takeFrameBytes();
    load.safeDelayMs.reset();
    load.run(MEASUREMENT_MS);
    SimulatedStore.Counts counts = store.takeCounts();
    double seconds = MEASUREMENT_MS / 1000.0;
    table.add(
        method,
        nodes,
        requestsPerS,
        counts.writes() / seconds,
        counts.bytes() / seconds / 1000,
        simulation.takeFrameBytes() / seconds / 1000 / nodes,
        load.safeDelayMs.getValueAtPercentile(50),
        load.safeDelayMs.getValueAtPercentile(99),
        load.safeDelayMs.getMaxValue());
  }

  private static CompletableFuture<PeerFrame> onFrame(UsageSpool spool, PeerFrame frame) {
    if (frame.hasUsageRelease()) {
      spool.onRelease(frame.getUsageRelease());
      return new CompletableFuture<>();
    }
    return CompletableFuture.completedFuture(
        PeerFrame.newBuilder().setUsageCopyAck(spool.onCopy(frame.getUsageCopy())).build());
  }

  /** Generates usage records of requests that end at random nodes as a Poisson process. */
  private static final class UsageLoad {
    private final Simulation simulation;
    private final List<UsageSpool> spools;
    private final Random random;
    private final double requestsPerMs;
    private final Histogram safeDelayMs = new Histogram(3);
    private long nextRequest;

    private UsageLoad(
        Simulation simulation, List<UsageSpool> spools, double requestsPerS, long seed) {
      this.simulation = simulation;
      this.spools = spools;
      random = new Random(seed);
      requestsPerMs = requestsPerS / 1000;
    }

    private void run(long ms) {
      scheduleNextArrival(simulation.clock().nowMs() + ms);
      simulation.run(ms);
    }

    private void scheduleNextArrival(long endMs) {
      double gapMs = -Math.log(1 - random.nextDouble()) / requestsPerMs;
      simulation.after(
          Math.round(gapMs),
          () -> {
            if (simulation.clock().nowMs() < endMs) {
              addRecord();
              scheduleNextArrival(endMs);
            }
          });
    }

    private void addRecord() {
      long startMs = simulation.clock().nowMs();
      UsageStage stage =
          UsageStage.newBuilder()
              .setModel("report-large")
              .setVersion("2026-11-03")
              .setEndpoint("engine-0007")
              .setPromptTokens(900)
              .setCompletionTokens(300)
              .setCostMicros(2_700)
              .build();
      UsageRecord usageRecord =
          UsageRecord.newBuilder()
              .setRequestId("node-000.1a2b3c." + nextRequest++)
              .setAccount("survey-north")
              .setTask("corridor-report")
              .addStage(stage)
              .setFinishedMs(startMs)
              .setConfigVersion(17)
              .addRuleLine(4)
              .setResult("OK")
              .build();
      spools
          .get(random.nextInt(spools.size()))
          .add(usageRecord)
          .thenAccept(done -> safeDelayMs.recordValue(simulation.clock().nowMs() - startMs));
    }
  }
}
