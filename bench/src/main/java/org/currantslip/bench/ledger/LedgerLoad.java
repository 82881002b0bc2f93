package org.currantslip.bench.ledger;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.currantslip.core.ledger.Ledger;
import org.currantslip.core.ledger.LedgerDecision;
import org.currantslip.core.ledger.LedgerKey;
import org.currantslip.schema.LedgerOutcome;
import org.currantslip.schema.LedgerResult;

/** Keys that arrive at random times at random nodes, run and are answered. */
final class LedgerLoad {
  private static final long RUN_MS = 50;
  private static final int BODY_BYTES = 512;
  private static final ByteString BODY_HASH = ByteString.copyFrom(new byte[32]);
  private static final ByteString BODY = ByteString.copyFrom(new byte[BODY_BYTES]);

  private final Simulation simulation;
  private final List<? extends Ledger> ledgers;
  private final Random random;
  private final double keysPerMs;
  private Histogram added = new Histogram(3);
  private long failures;
  private long requests;

  private LedgerLoad(
      Simulation simulation, List<? extends Ledger> ledgers, double keysPerS, long seed) {
    this.simulation = simulation;
    this.ledgers = ledgers;
    random = new Random(seed);
    keysPerMs = keysPerS / 1000;
  }

  static LedgerLoad create(
      Simulation simulation, List<? extends Ledger> ledgers, double keysPerS, long seed) {
    return new LedgerLoad(simulation, ledgers, keysPerS, seed);
  }

  void run(long ms) {
    long untilMs = simulation.clock().nowMs() + ms;
    arrive(untilMs);
    simulation.run(ms);
  }

  private void arrive(long untilMs) {
    double gapMs = -Math.log(1 - random.nextDouble()) / keysPerMs;
    simulation.after(
        Math.round(gapMs),
        () -> {
          if (simulation.clock().nowMs() < untilMs) {
            send();
            arrive(untilMs);
          }
        });
  }

  private void send() {
    Ledger ledger = ledgers.get(random.nextInt(ledgers.size()));
    long startMs = simulation.clock().nowMs();
    String id = "r" + requests++;
    LedgerKey key = new LedgerKey("account", startMs + "-" + id, startMs);
    ledger
        .begin(key, BODY_HASH, id, true)
        .whenComplete(
            (decision, failure) -> {
              if (decision instanceof LedgerDecision.Run && ledger.markDispatched(key, id)) {
                long beginMs = simulation.clock().nowMs() - startMs;
                simulation.after(RUN_MS, () -> finish(ledger, key, id, beginMs));
              } else {
                failures++;
              }
            });
  }

  private void finish(Ledger ledger, LedgerKey key, String id, long beginMs) {
    long endedMs = simulation.clock().nowMs();
    LedgerOutcome outcome =
        LedgerOutcome.newBuilder()
            .setAccount(key.account())
            .setKey(key.key())
            .setRequestId(id)
            .setResult(LedgerResult.ANSWERED)
            .setHttpStatus(200)
            .setContentType("application/json")
            .setBody(BODY)
            .build();
    CompletableFuture<Void> stored = ledger.finish(key, outcome);
    stored.whenComplete(
        (done, failure) -> {
          if (failure == null) {
            added.recordValue(beginMs + simulation.clock().nowMs() - endedMs);
          } else {
            failures++;
          }
        });
  }

  /** Returns the latency that the ledger added, over intent and outcome, since the last call. */
  Histogram takeAdded() {
    Histogram taken = added;
    added = new Histogram(3);
    return taken;
  }

  long failures() {
    return failures;
  }
}
