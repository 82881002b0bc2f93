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

/**
 * Generates requests with new idempotency keys as a Poisson process. Each arrives at a random node,
 * is recorded as an intent, runs for a fixed time and ends with a stored outcome.
 */
final class LedgerLoad {
  private static final long REQUEST_DURATION_MS = 50;
  private static final int BODY_BYTES = 512;
  private static final ByteString BODY_HASH = ByteString.copyFrom(new byte[32]);
  private static final ByteString BODY = ByteString.copyFrom(new byte[BODY_BYTES]);

  private final Simulation simulation;
  private final List<? extends Ledger> ledgers;
  private final Random random;
  private final double keysPerMs;
  private Histogram addedLatencyMs = new Histogram(3);
  private long failures;
  private long nextRequest;

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
    long endMs = simulation.clock().nowMs() + ms;
    scheduleNextArrival(endMs);
    simulation.run(ms);
  }

  private void scheduleNextArrival(long endMs) {
    double gapMs = -Math.log(1 - random.nextDouble()) / keysPerMs;
    simulation.after(
        Math.round(gapMs),
        () -> {
          if (simulation.clock().nowMs() < endMs) {
            sendRequest();
            scheduleNextArrival(endMs);
          }
        });
  }

  private void sendRequest() {
    Ledger ledger = ledgers.get(random.nextInt(ledgers.size()));
    long startMs = simulation.clock().nowMs();
    String id = "r" + nextRequest++;
    LedgerKey key = new LedgerKey("account", startMs + "-" + id, startMs);
    ledger
        .begin(key, BODY_HASH, id, true)
        .whenComplete(
            (decision, failure) -> {
              if (decision instanceof LedgerDecision.Run && ledger.markDispatched(key, id)) {
                long beginLatencyMs = simulation.clock().nowMs() - startMs;
                simulation.after(
                    REQUEST_DURATION_MS, () -> finish(ledger, key, id, beginLatencyMs));
              } else {
                failures++;
              }
            });
  }

  private void finish(Ledger ledger, LedgerKey key, String id, long beginLatencyMs) {
    long finishStartMs = simulation.clock().nowMs();
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
            addedLatencyMs.recordValue(beginLatencyMs + simulation.clock().nowMs() - finishStartMs);
          } else {
            failures++;
          }
        });
  }

  /**
   * Returns the latency added by the ledger to the requests that ended since the last call: the
   * time to store the intent plus the time to store the outcome.
   */
  Histogram takeAddedLatency() {
    Histogram taken = addedLatencyMs;
    addedLatencyMs = new Histogram(3);
    return taken;
  }

  long failures() {
    return failures;
  }
}
