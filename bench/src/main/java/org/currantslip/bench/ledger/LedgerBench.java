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

/**
 * Measures the store calls and the added latency of the slot-based ledger, relative to a ledger
 * that keeps one object per key.
 */
public final class LedgerBench implements Bench {
  private static final int[] FLEET_SIZES = {6, 24, 420};
  private static final int[] KEY_RATES_PER_S = {5, 50, 400};
  private static final int FAILURE_DOMAINS = 4;
  private static final long STORE_LATENCY_MS = 5;
  private static final long LINK_LATENCY_MS = 1;
  private static final long WARM_UP_MS = 20_000;
  private static final long MEASUREMENT_MS = 60_000;

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
    for (int keysPerS : KEY_RATES_PER_S) {
      measureObjectPerKey(table, keysPerS, seed);
      for (int nodes : FLEET_SIZES) {
        measureSlots(table, nodes, keysPerS, seed);
      }
    }
    return List.of(table);
  }

  private static void measureObjectPerKey(ResultTable table, int keysPerS, long seed) {
    Simulation simulation = Simulation.create(LINK_LATENCY_MS);
    SimulatedStore store = SimulatedStore.on(simulation, STORE_LATENCY_MS);
    measure(
        table,
        "one object a key",
        1,
        keysPerS,
        seed,
        simulation,
        store,
        List.of(ObjectPerKeyLedger.create(store)));
  }

  private static void measureSlots(ResultTable table, int nodes, int keysPerS, long seed) {
    Simulation simulation = Simulation.create(LINK_LATENCY_MS);
    SimulatedStore store = SimulatedStore.on(simulation, STORE_LATENCY_MS);
    List<Ledger> ledgers = new ArrayList<>();
    for (FixedMembership membership : FixedMembership.createFleet(nodes, FAILURE_DOMAINS)) {
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
    measure(table, "slots", nodes, keysPerS, seed, simulation, store, ledgers);
  }

  private static CompletableFuture<PeerFrame> onFrame(Ledger ledger, PeerFrame frame) {
    return ledger
        .onAppend(frame.getLedgerAppend())
        .thenApply(reply -> PeerFrame.newBuilder().setLedgerAppendReply(reply).build());
  }

  private static void measure(
      ResultTable table,
      String ledgerName,
      int nodes,
      int keysPerS,
      long seed,
      Simulation simulation,
      SimulatedStore store,
      List<? extends Ledger> ledgers) {
    LedgerLoad load = LedgerLoad.create(simulation, ledgers, keysPerS, seed);
    load.run(WARM_UP_MS);
    store.takeCounts();
    simulation.takeFrameBytes();
    load.takeAddedLatency();
    load.run(MEASUREMENT_MS);
    SimulatedStore.Counts counts = store.takeCounts();
    Histogram addedLatency = load.takeAddedLatency();
    double seconds = MEASUREMENT_MS / 1000.0;
    table.add(
        ledgerName,
        nodes,
        keysPerS,
        counts.writes() / seconds,
        counts.deletes() / seconds,
        counts.reads() / seconds,
        counts.bytes() / seconds / 1000,
        simulation.takeFrameBytes() / seconds / 1000 / nodes,
        addedLatency.getValueAtPercentile(50),
        addedLatency.getValueAtPercentile(99),
        addedLatency.getMaxValue(),
        load.failures());
  }
}
