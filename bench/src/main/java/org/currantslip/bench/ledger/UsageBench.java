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

/** Store writes and time until a usage record is safe, against writing each batch first. */
public final class UsageBench implements Bench {
  private static final int[][] LOADS = {{6, 40}, {6, 400}, {24, 400}, {420, 4_000}};
  private static final int FAILURE_DOMAINS = 4;
  private static final int MAX_RECORDS = 16_384;
  private static final long STORE_TIMEOUT_MS = 2_000;
  private static final long STORE_MS = 5;
  private static final long ONE_WAY_MS = 1;
  private static final long WARM_UP_MS = 30_000;
  private static final long MEASURED_MS = 60_000;

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

  /** In a single failure domain no peer may keep copies, so that each batch is written first. */
  private static void measure(
      ResultTable table, String way, int nodes, int rate, int failureDomains, long seed) {
    Simulation simulation = Simulation.create(ONE_WAY_MS);
    SimulatedStore store = SimulatedStore.on(simulation, STORE_MS);
    List<UsageSpool> spools = new ArrayList<>();
    for (FixedMembership membership : FixedMembership.fleet(nodes, failureDomains)) {
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
    Load load = new Load(simulation, spools, rate, seed);
    load.run(WARM_UP_MS);
    store.takeCounts();
    simulation.takeFrameBytes();
    load.safe.reset();
    load.run(MEASURED_MS);
    SimulatedStore.Counts counts = store.takeCounts();
    double seconds = MEASURED_MS / 1000.0;
    table.add(
        way,
        nodes,
        rate,
        counts.writes() / seconds,
        counts.bytes() / seconds / 1000,
        simulation.takeFrameBytes() / seconds / 1000 / nodes,
        load.safe.getValueAtPercentile(50),
        load.safe.getValueAtPercentile(99),
        load.safe.getMaxValue());
  }

  private static CompletableFuture<PeerFrame> onFrame(UsageSpool spool, PeerFrame frame) {
    if (frame.hasUsageRelease()) {
      spool.onRelease(frame.getUsageRelease());
      return new CompletableFuture<>();
    }
    return CompletableFuture.completedFuture(
        PeerFrame.newBuilder().setUsageCopyAck(spool.onCopy(frame.getUsageCopy())).build());
  }

  /** Requests that end at random times at random nodes. */
  private static final class Load {
    private final Simulation simulation;
    private final List<UsageSpool> spools;
    private final Random random;
    private final double requestsPerMs;
    private final Histogram safe = new Histogram(3);
    private long requests;

    private Load(Simulation simulation, List<UsageSpool> spools, double perS, long seed) {
      this.simulation = simulation;
      this.spools = spools;
      random = new Random(seed);
      requestsPerMs = perS / 1000;
    }

    private void run(long ms) {
      arrive(simulation.clock().nowMs() + ms);
      simulation.run(ms);
    }

    private void arrive(long untilMs) {
      double gapMs = -Math.log(1 - random.nextDouble()) / requestsPerMs;
      simulation.after(
          Math.round(gapMs),
          () -> {
            if (simulation.clock().nowMs() < untilMs) {
              add();
              arrive(untilMs);
            }
          });
    }

    private void add() {
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
      UsageRecord rec =
          UsageRecord.newBuilder()
              .setRequestId("node-000.1a2b3c." + requests++)
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
          .add(rec)
          .thenAccept(done -> safe.recordValue(simulation.clock().nowMs() - startMs));
    }
  }
}
