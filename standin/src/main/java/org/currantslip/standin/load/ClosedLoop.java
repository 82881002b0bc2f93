package org.currantslip.standin.load;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Keeps a fixed number of requests in progress, to measure the throughput of a target. */
final class ClosedLoop implements Runnable {
  private final LoadTarget target;
  private final LoadOptions options;
  private final long countFromNanos;
  private final long endNanos;

  ClosedLoop(LoadTarget target, LoadOptions options) {
    this.target = target;
    this.options = options;
    countFromNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.warmUpMs());
    endNanos = countFromNanos + TimeUnit.MILLISECONDS.toNanos(options.durationMs());
  }

  @Override
  public void run() {
    CompletableFuture<?>[] workers = new CompletableFuture<?>[options.inFlight()];
    for (int i = 0; i < workers.length; i++) {
      CompletableFuture<Void> worker = new CompletableFuture<>();
      workers[i] = worker;
      sendNext(worker);
    }
    CompletableFuture.allOf(workers).join();
  }

  private void sendNext(CompletableFuture<Void> worker) {
    long now = System.nanoTime();
    if (now >= endNanos) {
      worker.complete(null);
      return;
    }
    var unused = target.send(now, now >= countFromNanos).thenRunAsync(() -> sendNext(worker));
  }
}
