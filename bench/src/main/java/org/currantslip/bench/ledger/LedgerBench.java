package org.currantslip.bench.ledger;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.currantslip.bench.Bench;
import org.currantslip.bench.ResultTable;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.ledger.LedgerOptions;
import org.currantslip.core.ledger.StoreLedger;
import org.currantslip.schema.PeerFrame;

/** Store calls and added latency of the ledger, against one object a key. */
public final class LedgerBench implements Bench {
  private static final int[] FLEETS = {6, 24, 420};
  private static final int[] KEYS_PER_S = {5, 50, 400};
  private static final int FAILURE_DOMAINS = 4;
  private static final long STORE_MS = 5;
  private static final long ONE_WAY_MS = 1;
  private static final long WARM_UP_MS = 20_000;
  private static final long MEASURED_MS = 60_000;

  private LedgerBench() {}

  /** Returns the experiment. */
  public static LedgerBench create() {
    return new LedgerBench();
  }

  @Override
  public String name() {
    return "ledger";
  }

  @Override
  public List<ResultTable> run(long seed, Path outDir) {
    ResultTable table =
        ResultTable.of(
            "ledger",
            "ledger",
            "nodes",
            "keys/s",
            "writes/s",
            "of them deletes/s",
            "reads/s",
            "written KB/s",
            "peer KB/s a node",
            "added p50 ms",
            "added p99 ms",
            "added max ms",
            "failures");
    for (int rate : KEYS_PER_S) {
      measureOneWrite(table, rate, seed);
      for (int nodes : FLEETS) {
        measureSlots(table, nodes, rate, seed);
      }
    }
    return List.of(table);
  }

  private static void measureOneWrite(ResultTable table, int rate, long seed) {
    Simulation simulation = Simulation.create(ONE_WAY_MS);
    SimulatedStore store = SimulatedStore.on(simulation, STORE_MS);
    measure(
        table,
        "one object a key",
        1,
        rate,
        seed,
        simulation,
        store,
        List.of(OneWriteLedger.create(store)));
  }

  private static void measureSlots(ResultTable table, int nodes, int rate, long seed) {
    Simulation simulation = Simulation.create(ONE_WAY_MS);
    SimulatedStore store = SimulatedStore.on(simulation, STORE_MS);
    List<Ledger> ledgers = new ArrayList<>();
    for (FixedMembership membership : FixedMembership.fleet(nodes, FAILURE_DOMAINS)) {
      Ledger ledger =
          StoreLedger.create(
              membership.self().getId(),
              store,
              simulation.network(),
              membership,
              simulation.clock(),
              LedgerOptions.defaults());
      simulation.addNode(
          membership.self().getId().getName(), ledger::tick, frame -> onFrame(ledger, frame));
      ledgers.add(ledger);
    }
    measure(table, "slots", nodes, rate, seed, simulation, store, ledgers);
  }

  private static CompletableFuture<PeerFrame> onFrame(Ledger ledger, PeerFrame frame) {
    return ledger
        .onAppend(frame.getLedgerAppend())
        .thenApply(r -> PeerFrame.newBuilder().setLedgerAppendReply(r).build());
  }

  private static void measure(
      ResultTable table,
      String ledger,
      int nodes,
      int rate,
      long seed,
      Simulation simulation,
      SimulatedStore store,
      List<? extends Ledger> ledgers) {
    LedgerLoad load = LedgerLoad.create(simulation, ledgers, rate, seed);
    load.run(WARM_UP_MS);
    store.takeCounts();
    simulation.takeFrameBytes();
    load.takeAdded();
    load.run(MEASURED_MS);
    SimulatedStore.Counts counts = store.takeCounts();
    Histogram added = load.takeAdded();
    double seconds = MEASURED_MS / 1000.0;
    table.add(
        ledger,
        nodes,
        rate,
        counts.writes() / seconds,
        counts.deletes() / seconds,
        counts.reads() / seconds,
        counts.bytes() / seconds / 1000,
        simulation.takeFrameBytes() / seconds / 1000 / nodes,
        added.getValueAtPercentile(50),
        added.getValueAtPercentile(99),
        added.getMaxValue(),
        load.failures());
  }
}
